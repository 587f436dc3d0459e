"""Thin programs around the library."""
