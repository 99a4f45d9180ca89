"""Choose a target for a request."""
