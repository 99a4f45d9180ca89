"""Stand in for the outside systems, with faults switched on by name."""
