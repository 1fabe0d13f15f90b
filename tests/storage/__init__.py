"""Tests of the platform's client and of both stand-ins."""
