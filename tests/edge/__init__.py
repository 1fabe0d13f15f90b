"""Tests of chestnutshift.edge."""
