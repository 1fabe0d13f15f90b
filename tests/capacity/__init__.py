"""Tests of the capacity page's arithmetic; no figure of time is checked."""
