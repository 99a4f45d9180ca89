"""Serve the requests of callers."""
