"""What callers ask of the system itself, beside their services."""
