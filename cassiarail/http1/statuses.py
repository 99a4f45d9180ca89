"""Check the status line of a final response (RFC 9112, 4)."""

import re

# Smaller ones are informational; larger ones are undefined.
_MIN_STATUS = 200
_MAX_STATUS = 599
_CONTROL_BYTES = re.compile(rb'[\x00-\x08\x0a-\x1f\x7f]')


def find_status_problem(status: int, reason: bytes) -> str | None:
    """Return why a response is no final one, or ``None`` if it is."""
    if not _MIN_STATUS <= status <= _MAX_STATUS:
        return f'invalid status {status:03}'
    if _CONTROL_BYTES.search(reason):
        return 'reason phrase with control bytes'
    return None
