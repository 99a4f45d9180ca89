"""Shared building blocks of all subpackages."""
