"""Small stand-ins for the platform, the upstreams and a bad network."""
