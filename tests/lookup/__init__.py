"""Tests of the look-up package."""
