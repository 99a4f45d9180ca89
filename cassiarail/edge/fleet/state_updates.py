"""Decide whether the leader's state updates replace a host's own watch.

Store calls have a cost: in a large fleet, each change of an engine would be
returned to the watch of every host. A host relies on the state updates while
they prove that it knows the same entries as the leader, and that the leader's
own watches have shown all changes until recently.
"""

import collections
from typing import NamedTuple

from cassiarail.core.clock import Clock
from cassiarail.edge.fleet.messages import StateUpdate

# The leader's watches return at least every 0.4 s, and it reports their age
# every 0.5 s. Including the error of the transit time and the host's own call
# after that, the shortest bound on leaving targets and on the configuration
# (2 s) holds even if the leader was cut off just before a change.
_CONTACT_LIMIT_S = 1.4
# A reply that took longer doesn't show how long updates are in transit.
_MAX_ROUND_TRIP_S = 0.2
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
        self.configuration_version = 0
        self._clock = clock
        self._highest = 0
        self._out_of_order: set[int] = set()
        self._seen: collections.deque[_SeenNumber] = collections.deque(
            maxlen=_STORED_NUMBERS,
        )
        self._contact_at = _NEVER
        self._newest_sent_at = _NEVER
        self._min_offset_s: float | None = None
        self._requested_at = _NEVER

    @property
    def has_gap(self) -> bool:
        """Return whether an update is missing, perhaps only for a moment."""
        return self.last_received < self._highest

    @property
    def needs_reply(self) -> bool:
        """Return whether the leader's clock has not been measured yet."""
        return self._min_offset_s is None

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
            self._newest_sent_at = _NEVER
            self._min_offset_s = None
        if update.number > self._highest:
            self._highest = update.number
            self._seen.append(_SeenNumber(now, update.number))
        if update.has_rows and update.number > self.last_received:
            self._out_of_order.add(update.number)
            self._advance()

    def confirm(self, update: StateUpdate, digest: int) -> None:
        """Renew the proof that this host knows what the registry lists.

        ``digest`` identifies the entries that the host knows after it has
        applied the update.
        """
        self._measure_offset(update)
        if update.sent_at <= self._newest_sent_at:
            # It was resent, or a relay has delayed it.
            return
        self._newest_sent_at = update.sent_at
        self.configuration_version = update.configuration
        if update.contact_s < 0:
            self._contact_at = _NEVER
        elif update.digest == digest and self._min_offset_s is not None:
            sent_at = update.sent_at + self._min_offset_s
            self._contact_at = max(self._contact_at, sent_at - update.contact_s)

    def age_s(self) -> float:
        """Return the age of the state that the updates have confirmed."""
        return self._clock.monotonic() - self._contact_at

    def age_with_configuration_s(self, version: int) -> float:
        """Return the age of what a host knows that applies a configuration.

        Until it applies the announced version, the updates confirm nothing
        that it could announce itself.
        """
        if version < self.configuration_version:
            return -_NEVER
        return self.age_s()

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
        return self.current_s() >= 0 and not self.is_behind

    def current_s(self) -> float:
        """Return for how long what is known stays recent enough."""
        return _CONTACT_LIMIT_S - self.age_s()

    def _measure_offset(self, update: StateUpdate) -> None:
        """Measure the offset of the leader's clock, including the transit.

        Only the reply to a report of this host bounds the transit time: it was
        sent after the report.
        """
        now = self._clock.monotonic()
        offset_s = now - update.sent_at
        if self._min_offset_s is not None:
            self._min_offset_s = min(self._min_offset_s, offset_s)
        elif update.reply_to and now - update.reply_to <= _MAX_ROUND_TRIP_S:
            self._min_offset_s = offset_s

    def _advance(self) -> None:
        while self.last_received + 1 in self._out_of_order:
            self.last_received += 1
        self._out_of_order = {
            each for each in self._out_of_order if each > self.last_received
        }
