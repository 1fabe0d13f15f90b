"""Route table: matching by host and path, and weighted traffic splitting."""
