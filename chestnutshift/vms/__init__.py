"""The process of an entry VM, its tasks and its view of the other VMs."""
