"""Callers' keys: reading, hiding, authenticating and withdrawing them."""
