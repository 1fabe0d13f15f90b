"""Thrift messages between VMs; `generated` is made from links.thrift."""
