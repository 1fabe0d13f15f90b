"""The numbered configuration that the platform stores."""
