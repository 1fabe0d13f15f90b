"""Build tools; the binary contains none of them."""
