"""Tests of rate and burst over the fleet."""
