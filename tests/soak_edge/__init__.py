"""A randomized soak of edge VMs as real processes, with faults from outside."""
