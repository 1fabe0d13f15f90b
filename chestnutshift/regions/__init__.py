"""Moves of work between failure domains and regions, and their bounds."""
