"""Messages between edge VMs, and the decisions that depend on them."""
