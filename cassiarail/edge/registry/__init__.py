"""Follow the targets and the configuration in the store."""
