"""Tests of chestnutshift; packages mirror those of the source tree."""
