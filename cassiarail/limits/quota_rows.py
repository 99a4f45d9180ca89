"""Define what hosts and their leader tell each other about an account."""

import zlib
from typing import NamedTuple


class UseRow(NamedTuple):
    """Report the use of an account on one host to the leader.

    ``spent`` and ``received`` count the units of the leader's term. ``urgent``
    units are needed by requests that wait, ``ahead`` units for those to come.
    """

    account: int
    spent: int
    received: int
    held: int
    urgent: int
    ahead: int


class GrantRow(NamedTuple):
    """Grant units of an account to one host.

    ``granted`` counts the units of the leader's term. ``denied_ms`` is the
    time until urgent units that were not granted may be there, or 0.
    """

    account: int
    granted: int
    denied_ms: int


def identify_account(name: str) -> int:
    """Return the number that stands for an account in messages."""
    return zlib.crc32(name.encode())
