"""Steer callers of member associations over regions and failure domains."""

VERSION = '0.1.0'
