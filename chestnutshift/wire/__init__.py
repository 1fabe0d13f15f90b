"""Thrift messages between VMs.

The code in `generated` is generated from links.thrift and fleet.thrift.
"""
