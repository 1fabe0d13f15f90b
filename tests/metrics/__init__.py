"""Tests of measures and metrics."""
