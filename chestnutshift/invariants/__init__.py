"""What must always hold, asserted inside the running program."""
