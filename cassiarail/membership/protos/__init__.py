"""Hold the generated messages between processes."""
