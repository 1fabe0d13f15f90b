"""API keys of callers: parsing, authentication, redaction and withdrawal."""
