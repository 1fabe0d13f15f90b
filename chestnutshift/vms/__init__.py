"""The entry VMs: their process, and what each knows of the others."""
