"""Versioned bundles: model, commands and queries."""
