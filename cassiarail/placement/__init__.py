"""Decide which target holds which model and adapter."""
