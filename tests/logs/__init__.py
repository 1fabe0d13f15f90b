"""Tests of log handlers and of the search of logs."""
