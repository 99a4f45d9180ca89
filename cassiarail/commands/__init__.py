"""Define the programs of the package."""
