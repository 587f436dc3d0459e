"""Key ownership: slices, leases and the coordination of a service."""
