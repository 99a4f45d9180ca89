"""Run a whole deployment in one process, with faults and an audit."""
