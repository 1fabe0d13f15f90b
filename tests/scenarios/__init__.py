"""Scenarios played against real processes on this machine."""
