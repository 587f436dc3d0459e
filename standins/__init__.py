"""Stand-ins for the platform, the upstream servers and a faulty network."""
