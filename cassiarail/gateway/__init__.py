"""Accept callers' requests and relay them to targets."""
