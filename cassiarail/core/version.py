"""Read the version of the installed package."""

from importlib import metadata


def read_version() -> str:
    """Return the version of the installed package."""
    return metadata.version('cassiarail')
