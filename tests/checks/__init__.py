"""Tests of the numbered checks."""
