"""Callers' keys: reading, redacting, authenticating and withdrawing them."""
