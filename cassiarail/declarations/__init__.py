"""Read, check and resolve the operators' declarations."""
