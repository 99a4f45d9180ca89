"""Define the command line programs."""
