"""Routes by host and path: what is served, for whom and how."""
