"""The process of an edge VM that the platform's store coordinates."""
