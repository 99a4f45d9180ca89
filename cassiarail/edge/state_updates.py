"""Decide whether the leader's state updates replace a host's own watch.

Store calls have a cost: in a large fleet, each change of an engine would be
returned to the watch of every host. A host relies on the state updates while
they arrive, none is missing, and the leader itself can reach the store.
"""

import collections
from typing import NamedTuple

from cassiarail.core.clock import Clock
from cassiarail.edge.messages import StateUpdate

# A leader contacts the store about every 0.4 s and reports the last contact
# every 0.5 s. Including the host's own call after that, the shortest bound on
# leaving targets (2 s) holds even if the leader was cut off just before a
# change.
_CONTACT_LIMIT_S = 1.2
# Each update takes two routes, so a later one may overtake it. One that is
# missing for longer is lost.
REORDER_S = 0.1
# Missing updates are requested again after this.
_REQUEST_INTERVAL_S = 0.8
_NEVER = float('-inf')
# Numbers whose arrival times are stored; enough for a second of many orders.
_STORED_NUMBERS = 64


class _SeenNumber(NamedTuple):
    """Hold when a number was first seen."""

    at: float
    number: int


class StateUpdateReceiver:
    """Track the numbers of the updates of one leader after another."""

    def __init__(self, clock: Clock) -> None:
        self.fence = 0
        self.last_received = 0
        self._clock = clock
        self._highest = 0
        self._out_of_order: set[int] = set()
        self._seen: collections.deque[_SeenNumber] = collections.deque(
            maxlen=_STORED_NUMBERS,
        )
        self._contact_at = _NEVER
        self._requested_at = _NEVER

    @property
    def has_gap(self) -> bool:
        """Return whether an update is missing, perhaps only for a moment."""
        return self.last_received < self._highest

    @property
    def is_behind(self) -> bool:
        """Return whether an update is missing and has to be requested."""
        if not self.has_gap:
            return False
        oldest = self._clock.monotonic() - REORDER_S
        return any(
            seen.number > self.last_received and seen.at <= oldest
            for seen in self._seen
        )

    def receive(self, update: StateUpdate) -> None:
        """Record an update of the current leader."""
        now = self._clock.monotonic()
        if update.fence != self.fence:
            self.fence = update.fence
            self.last_received = 0
            self._highest = 0
            self._out_of_order.clear()
            self._seen.clear()
        # A resent update contains an old contact time.
        is_heartbeat = update.number == self._highest and not update.has_rows
        is_new = update.number > self._highest or is_heartbeat
        if update.number > self._highest:
            self._highest = update.number
            self._seen.append(_SeenNumber(now, update.number))
        if update.has_rows and update.number > self.last_received:
            self._out_of_order.add(update.number)
            self._advance()
        if is_new:
            known = update.contact_s >= 0
            self._contact_at = now - update.contact_s if known else _NEVER

    def begin_resend_request(self) -> bool:
        """Return whether to request missing updates now, and record it."""
        now = self._clock.monotonic()
        if not self.is_behind or now - self._requested_at < _REQUEST_INTERVAL_S:
            return False
        self._requested_at = now
        return True

    def record_store_call(self, started_at: float) -> None:
        """Record that a call has returned all changes until its start.

        The response may have been in transit for long, so it needn't include
        what was in updates that arrived meanwhile.
        """
        while self._seen and self._seen[0].at <= started_at:
            self.last_received = max(
                self.last_received, self._seen.popleft().number
            )
        self._advance()

    def is_current(self) -> bool:
        """Return whether the updates show everything the registry lists."""
        age_s = self._clock.monotonic() - self._contact_at
        return age_s <= _CONTACT_LIMIT_S and not self.is_behind

    def _advance(self) -> None:
        while self.last_received + 1 in self._out_of_order:
            self.last_received += 1
        self._out_of_order = {
            each for each in self._out_of_order if each > self.last_received
        }
