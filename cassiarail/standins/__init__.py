"""Simulate the external systems, with faults switched on by name."""
