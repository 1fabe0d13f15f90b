"""The operators' interface: its own port, its own secret."""
