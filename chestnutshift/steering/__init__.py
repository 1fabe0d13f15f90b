"""Decisions about requests that need no network: who, where, how often."""
