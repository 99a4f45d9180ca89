"""Provide the routing policies."""
