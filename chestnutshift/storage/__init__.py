"""Client of the platform: table service, object store and list of VMs."""
