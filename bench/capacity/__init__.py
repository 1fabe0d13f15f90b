"""Capacity estimates: measured costs per unit, scaled to a target size."""
