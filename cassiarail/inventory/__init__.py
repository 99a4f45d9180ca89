"""Read the host list and the weight store of the platform."""
