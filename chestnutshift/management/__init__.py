"""Command line: a thin layer over the library code."""
