"""Tests of chestnutshift.routes."""
