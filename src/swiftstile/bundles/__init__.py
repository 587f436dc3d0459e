"""Versioned configuration bundles: model, commands and queries."""
