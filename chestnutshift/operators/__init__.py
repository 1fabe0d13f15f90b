"""HTTP interface for operators, with its own port and secret."""
