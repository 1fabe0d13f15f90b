"""Settings of one VM, and the defaults of settings and presets."""
