"""Who owns which keys: slices, leases and coordination."""
