"""Clients for each kind of target."""
