"""Requests under which upstream processes end."""
