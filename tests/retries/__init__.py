"""Tests of chestnutshift.retries."""
