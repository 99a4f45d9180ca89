"""Order the engines what to hold."""
