"""Tests of the capacity estimates; they check no measured time."""
