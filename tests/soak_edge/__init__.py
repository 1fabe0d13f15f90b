"""Randomized soak test of edge VMs as real processes, with injected faults."""
