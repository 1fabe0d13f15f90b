"""Tests of chestnutshift.fleet."""
