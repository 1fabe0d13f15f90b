"""Experiments and measurements; no verdicts in CI."""
