"""The command line, thin over library code."""
