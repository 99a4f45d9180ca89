"""Translate between the platform's formats and internal types."""
