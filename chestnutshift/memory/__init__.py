"""The memory of a VM: a budget of buffered bytes, and what is resident."""
