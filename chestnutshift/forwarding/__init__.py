"""Forwarding of callers' requests to upstreams and of answers back."""
