"""Look-up: which entry VMs a caller should use, and for how long."""
