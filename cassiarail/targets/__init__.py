"""Talk to model engines and plain services."""
