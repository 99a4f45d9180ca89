"""Implementations of the object store client."""
