"""A router by host and path for platforms that store the configuration."""
