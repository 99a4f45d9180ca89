"""Check promises inside the program.

A broken invariant refuses the action that would break it, is logged as event
9001 and counted; it never ends the process.
"""

import collections

from cassiarail.core.events import (
    INVARIANT_BROKEN,
    emit_event,
)
from cassiarail.core.exceptions import InvariantError


class Invariants:
    """Count and refuse the actions that would break a promise."""

    def __init__(self) -> None:
        self.broken: collections.Counter[str] = collections.Counter()

    def require(self, holds: bool, name: str, **fields: object) -> None:
        """Raise ``InvariantError`` unless the named promise holds."""
        if holds:
            return
        self.broken[name] += 1
        emit_event(INVARIANT_BROKEN, invariant=name, **fields)
        raise InvariantError(f'invariant {name} would be broken')
