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
# Each ledger takes two ways, so that a later one may overtake it. One that is
# missing for longer is lost.
REORDER_S = 0.1
# Ledgers that are missing are asked for again after this.
_ASK_AGAIN_S = 0.8
_NEVER = float('-inf')
# Numbers that are remembered with their times; a second of many orders.
_SEEN_NUMBERS = 64


class _Seen(NamedTuple):
    """Hold when a number was first told of."""

    at: float
    number: int


class StateUpdateReceiver:
    """Follow the numbers of the ledgers of one holder after another."""

    def __init__(self, clock: Clock) -> None:
        self.fence = 0
        self.last_received = 0
        self._clock = clock
        self._newest = 0
        self._early: set[int] = set()
        self._seen: collections.deque[_Seen] = collections.deque(
            maxlen=_SEEN_NUMBERS,
        )
        self._contact_at = _NEVER
        self._asked_at = _NEVER

    @property
    def has_gap(self) -> bool:
        """Tell whether a ledger is missing, perhaps only for a moment."""
        return self.last_received < self._newest

    @property
    def is_behind(self) -> bool:
        """Tell whether a ledger is missing that won't come by itself."""
        if not self.has_gap:
            return False
        oldest = self._clock.monotonic() - REORDER_S
        return any(
            seen.number > self.last_received and seen.at <= oldest
            for seen in self._seen
        )

    def receive(self, ledger: Ledger) -> None:
        """Note a ledger of the current holder."""
        now = self._clock.monotonic()
        if ledger.fence != self.fence:
            self.fence = ledger.fence
            self.last_received = 0
            self._newest = 0
            self._early.clear()
            self._seen.clear()
        # A ledger that was sent again tells an old contact.
        is_beat = ledger.number == self._newest and not ledger.has_rows
        is_new = ledger.number > self._newest or is_beat
        if ledger.number > self._newest:
            self._newest = ledger.number
            self._seen.append(_Seen(now, ledger.number))
        if ledger.has_rows and ledger.number > self.last_received:
            self._early.add(ledger.number)
            self._advance()
        if is_new:
            known = ledger.contact_s >= 0
            self._contact_at = now - ledger.contact_s if known else _NEVER

    def begin_asking(self) -> bool:
        """Tell whether to ask for a missing ledger now."""
        now = self._clock.monotonic()
        if not self.is_behind or now - self._asked_at < _ASK_AGAIN_S:
            return False
        self._asked_at = now
        return True

    def record_store_call(self, begun_at: float) -> None:
        """Note that a call has returned all changes until it was begun.

        Its answer may have been under way for long, so that it needn't show
        what ledgers told meanwhile.
        """
        while self._seen and self._seen[0].at <= begun_at:
            self.last_received = max(
                self.last_received, self._seen.popleft().number
            )
        self._advance()

    def is_current(self) -> bool:
        """Tell whether the ledgers show all that the registry lists."""
        age_s = self._clock.monotonic() - self._contact_at
        return age_s <= _CONTACT_LIMIT_S and not self.is_behind

    def _advance(self) -> None:
        while self.last_received + 1 in self._early:
            self.last_received += 1
        self._early = {
            each for each in self._early if each > self.last_received
        }
