"""The form of the log."""
