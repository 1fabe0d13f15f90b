"""Numbered events: what every decision leaves behind, with its cause."""
