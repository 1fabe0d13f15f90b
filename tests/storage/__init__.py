"""Tests of the platform client and of the stand-ins."""
