"""Upstreams: which there are, and the connections to them."""
