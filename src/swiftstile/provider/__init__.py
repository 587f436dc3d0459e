"""Interfaces to the outside systems, and their HTTP adapters."""
