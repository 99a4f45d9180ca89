"""Use the platform's object API."""
