"""The numbered configuration that the platform holds."""
