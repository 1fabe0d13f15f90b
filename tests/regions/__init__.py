"""Tests of chestnutshift.regions."""
