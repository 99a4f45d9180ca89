"""Authenticate callers and peers."""
