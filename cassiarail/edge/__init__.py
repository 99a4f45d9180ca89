"""Forward callers' requests by host and path, on every host of a fleet."""
