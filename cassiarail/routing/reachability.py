"""Detect targets that are unreachable or unresponsive.

After a network partition, or while a target is suspended, connections hang
instead of failing, and each request sent there fails for its caller. A target
counts as unresponsive if requests are outstanding and no byte has arrived from
it on any connection for a while; under load, engines send events all the time.
"""

from collections.abc import Hashable, Iterable

from cassiarail.core.clock import Clock
from cassiarail.core.events import emit_event
from cassiarail.routing.events import TARGET_REACHABLE, TARGET_UNREACHABLE

# Several times the longest time to first byte of a target without overload.
UNRESPONSIVE_AFTER_S = 0.8
# One request probes an unreachable target after this time.
_PROBE_S = 1.0


class _Reachability:
    """Hold the state of one target; times are monotonic seconds."""

    def __init__(self) -> None:
        self.outstanding = 0
        self.last_activity_at = float(0)
        self.next_probe_at: float | None = None
        self.is_reported = False


class ReachabilityTracker:
    """Track activity of targets, each identified by a hashable value."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._states: dict[Hashable, _Reachability] = {}

    def begin(self, target: Hashable) -> None:
        """Record that a request was sent."""
        state = self._states.setdefault(target, _Reachability())
        if not state.outstanding:
            state.last_activity_at = self._clock.monotonic()
        state.outstanding += 1

    def end(self, target: Hashable) -> None:
        """Record that a request has ended, with any outcome."""
        state = self._states.get(target)
        if state is not None:
            state.outstanding -= 1

    def record_activity(self, target: Hashable) -> None:
        """Record that data arrived from a target."""
        state = self._states.setdefault(target, _Reachability())
        if state.is_reported:
            state.is_reported = False
            emit_event(
                TARGET_REACHABLE,
                target=str(target),
                silent_s=self._clock.monotonic() - state.last_activity_at,
            )
        state.last_activity_at = self._clock.monotonic()
        state.next_probe_at = None

    def record_connect_failure(self, target: Hashable) -> None:
        """Record that a connection could not be opened in time."""
        state = self._states.setdefault(target, _Reachability())
        now = self._clock.monotonic()
        if not state.outstanding:
            state.last_activity_at = now
        state.next_probe_at = now + _PROBE_S
        self._report_unreachable(target, state)

    def is_unreachable(self, target: Hashable) -> bool:
        """Return whether a target is unreachable or unresponsive."""
        state = self._states.get(target)
        if state is None:
            return False
        if state.next_probe_at is not None:
            return True
        idle_s = self._clock.monotonic() - state.last_activity_at
        return state.outstanding > 0 and idle_s > UNRESPONSIVE_AFTER_S

    def may_send(self, target: Hashable) -> bool:
        """Return whether a request may be sent, including as a probe."""
        if not self.is_unreachable(target):
            return True
        now = self._clock.monotonic()
        state = self._states[target]
        self._report_unreachable(target, state)
        if state.next_probe_at is None:
            state.next_probe_at = (
                state.last_activity_at + UNRESPONSIVE_AFTER_S + _PROBE_S
            )
        return now >= state.next_probe_at

    def begin_probe(self, target: Hashable) -> None:
        """Record that a probe is sent to an unreachable target."""
        state = self._states.get(target)
        if state is not None and state.next_probe_at is not None:
            state.next_probe_at = self._clock.monotonic() + _PROBE_S

    def _report_unreachable(
        self, target: Hashable, state: _Reachability
    ) -> None:
        if not state.is_reported:
            state.is_reported = True
            emit_event(
                TARGET_UNREACHABLE,
                target=str(target),
                outstanding=state.outstanding,
                silent_s=self._clock.monotonic() - state.last_activity_at,
            )

    def retain(self, targets: Iterable[Hashable]) -> None:
        """Remove targets that are neither named nor in use."""
        retained = set(targets)
        for target, state in list(self._states.items()):
            if target not in retained and state.outstanding <= 0:
                self._states.pop(target)
