"""Clients of the platform's host list and weight store."""
