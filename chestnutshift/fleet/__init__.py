"""What the edge VMs tell each other, and what follows from it."""
