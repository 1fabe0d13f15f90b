"""Tests of chestnutshift.steering."""
