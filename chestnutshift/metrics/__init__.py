"""Measures of one VM, and their way to statsd."""
