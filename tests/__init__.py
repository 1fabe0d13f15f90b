"""Tests of chestnutshift; each package mirrors one of the product."""
