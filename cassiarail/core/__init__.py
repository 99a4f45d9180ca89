"""Contracts that every subpackage shares."""
