"""Look-ups: the entry VMs that a caller should use, and for how long."""
