"""Numbered events, which record every decision with its cause."""
