"""Client of the platform: table service, object store and VM list."""
