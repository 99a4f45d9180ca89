"""Run a complete deployment in one process, with faults and an audit."""
