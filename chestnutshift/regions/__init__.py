"""Moving requests between failure domains and regions, within limits."""
