"""Which VMs exist and which of them answer."""
