"""A caller's request to an upstream, and the answer back."""
