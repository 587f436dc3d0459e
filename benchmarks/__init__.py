"""Scenarios and the measures of the project, on real processes."""
