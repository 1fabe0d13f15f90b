"""Measure what each part costs per unit of size, and size the target by it."""
