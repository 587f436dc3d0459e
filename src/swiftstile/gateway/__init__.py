"""A router by host and path, for platforms that keep the configuration."""
