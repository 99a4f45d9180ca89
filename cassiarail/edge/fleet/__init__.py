"""Exchange state with the other hosts and elect a leader."""
