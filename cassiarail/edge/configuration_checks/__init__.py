"""Check a configuration before it is sent."""
