"""Settings of one VM and the defaults of everything that can be set."""
