"""Steer callers of client accounts over regions and failure domains."""

VERSION = '0.1.0'
