"""Numbered checks of settings and configurations."""
