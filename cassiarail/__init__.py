"""Serve many bursty models on fewer accelerators."""
