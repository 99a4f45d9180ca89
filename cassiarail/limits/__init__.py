"""Limit concurrency, share capacity fairly and refuse what would be late."""
