"""The callers' port: connections, look-ups and steering pages."""
