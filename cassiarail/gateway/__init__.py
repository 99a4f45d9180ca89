"""Accept requests from callers and relay them to targets."""
