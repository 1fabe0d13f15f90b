"""Stand-in servers for the platform and the upstreams."""
