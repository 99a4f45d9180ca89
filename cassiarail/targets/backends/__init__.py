"""Clients of the kinds of targets."""
