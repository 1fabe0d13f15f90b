"""Scenario tests of a deployment of real processes on this machine."""
