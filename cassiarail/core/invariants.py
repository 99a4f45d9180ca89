"""Check invariants at run time.

An action that would break an invariant is refused, logged as event 9001 and
counted; the process continues.
"""

import collections

from cassiarail.core.events import (
    INVARIANT_BROKEN,
    emit_event,
)
from cassiarail.core.exceptions import InvariantError


class Invariants:
    """Refuse and count the actions that would break an invariant."""

    def __init__(self) -> None:
        self.broken: collections.Counter[str] = collections.Counter()

    def require(self, condition: bool, name: str, **fields: object) -> None:
        """Raise ``InvariantError`` unless the named invariant holds."""
        if condition:
            return
        self.broken[name] += 1
        emit_event(INVARIANT_BROKEN, invariant=name, **fields)
        raise InvariantError(f'invariant {name} would be broken')
