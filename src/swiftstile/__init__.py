"""A router for servers that own keys exclusively."""

__version__ = "0.1.0"
