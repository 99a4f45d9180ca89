"""Hold the modules that the launcher imports."""
