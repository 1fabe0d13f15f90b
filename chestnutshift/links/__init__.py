"""Connections between entry VMs, which exchange Thrift messages."""
