"""Which upstream runs a request, within the slots that this VM may use."""
