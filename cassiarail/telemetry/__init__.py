"""Emit logs, metrics and traces."""
