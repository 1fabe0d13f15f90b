"""Tests of chestnutshift.upstreams."""
