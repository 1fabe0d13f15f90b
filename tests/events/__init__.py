"""Tests of numbered events."""
