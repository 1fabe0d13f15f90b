"""Measures of a VM, which are shown in its status and sent to statsd."""
