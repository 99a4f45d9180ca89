"""Tell whether the order holder's ledgers stand in for an own watch.

Answers the price of store calls in a large fleet: each change of an engine
would return to the watch of each host. A host relies on the ledgers while
they come, none is missing, and the holder itself hears from the store.
"""

import collections
from typing import NamedTuple

from cassiarail.core.clock import Clock
from cassiarail.edge.messages import Ledger

# A holder hears from the store about every 0.4 s and tells so every 0.5 s.
# With an own call after that, the shortest bound on leaving targets (2 s)
# holds also if the holder was cut off just before a change.
_CONTACT_LIMIT_S = 1.2
# A call to the store covers the ledgers that were told of this long before it
# returned.
_CALL_S = 0.2


# Numbers that are remembered with their times; a second of many orders.
_SEEN_NUMBERS = 64


class _Seen(NamedTuple):
    """Hold when a number was first told of."""

    at: float
    number: int


class LedgerFeed:
    """Follow the numbers of the ledgers of one holder after another."""

    def __init__(self, clock: Clock) -> None:
        self.fence = 0
        self.heard = 0
        self._clock = clock
        self._newest = 0
        self._early: set[int] = set()
        self._seen: collections.deque[_Seen] = collections.deque(
            maxlen=_SEEN_NUMBERS,
        )
        self._contact_at = float('-inf')

    @property
    def is_behind(self) -> bool:
        """Tell whether a ledger is missing."""
        return self.heard < self._newest

    def take(self, ledger: Ledger) -> None:
        """Note a ledger of the current holder."""
        now = self._clock.monotonic()
        if ledger.fence != self.fence:
            self.fence = ledger.fence
            self.heard = 0
            self._newest = 0
            self._early.clear()
            self._seen.clear()
        if ledger.number > self._newest:
            self._newest = ledger.number
            self._seen.append(_Seen(now, ledger.number))
        if ledger.has_rows and ledger.number > self.heard:
            self._early.add(ledger.number)
            self._advance()
        if ledger.contact_s < 0:
            self._contact_at = float('-inf')
        else:
            self._contact_at = now - ledger.contact_s

    def note_own_call(self) -> None:
        """Note that a watch has just returned all changes until now."""
        oldest = self._clock.monotonic() - _CALL_S
        while self._seen and self._seen[0].at <= oldest:
            self.heard = max(self.heard, self._seen.popleft().number)
        self._advance()

    def is_current(self) -> bool:
        """Tell whether the ledgers show all that the registry lists."""
        age_s = self._clock.monotonic() - self._contact_at
        return age_s <= _CONTACT_LIMIT_S and not self.is_behind

    def _advance(self) -> None:
        while self.heard + 1 in self._early:
            self.heard += 1
        self._early = {each for each in self._early if each > self.heard}
