"""Daemons: the router, the coordinator and their status endpoints."""
