"""Thrift connections between the entry VMs."""
