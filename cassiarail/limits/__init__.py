"""Limit concurrency, share capacity fairly and refuse late requests."""
