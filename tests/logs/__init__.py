"""Tests of the package that mirrors this one."""
