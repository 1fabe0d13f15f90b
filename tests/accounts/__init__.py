"""Tests of the fleet-wide limits of client accounts."""
