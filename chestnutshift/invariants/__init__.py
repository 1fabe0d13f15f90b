"""Invariants that the running program verifies."""
