"""Notice targets that can't be reached or have fallen silent.

Answers cut networks and targets that went dark: connections to them hang
instead of failing, and each request that is sent there is lost to its caller.
A target counts as silent if requests are outstanding there and no byte has
come from it on any connection for a while; under load, engines send events
all the time.
"""

from collections.abc import Hashable, Iterable

from cassiarail.core.clock import Clock
from cassiarail.core.events import emit_event
from cassiarail.routing.events import TARGET_REACHABLE, TARGET_UNREACHABLE

# Several times the longest first answer of a target that is not overloaded.
UNRESPONSIVE_AFTER_S = 0.8
# One request tries a target again after this long.
_PROBE_S = 1.0


class _Reachability:
    """Hold what is known of one target; times are of the clock."""

    def __init__(self) -> None:
        self.outstanding = 0
        self.last_activity_at = float(0)
        self.next_probe_at: float | None = None
        self.is_reported = False


class ReachabilityTracker:
    """Follow what comes from targets, each named by a hashable identity."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._states: dict[Hashable, _Reachability] = {}

    def begin(self, target: Hashable) -> None:
        """Note that a request was sent."""
        state = self._states.setdefault(target, _Reachability())
        if not state.outstanding:
            state.last_activity_at = self._clock.monotonic()
        state.outstanding += 1

    def end(self, target: Hashable) -> None:
        """Note that a request has ended, however it did."""
        state = self._states.get(target)
        if state is not None:
            state.outstanding -= 1

    def record_activity(self, target: Hashable) -> None:
        """Note that a target has sent something."""
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
        """Note that a connection could not be opened in time."""
        state = self._states.setdefault(target, _Reachability())
        now = self._clock.monotonic()
        if not state.outstanding:
            state.last_activity_at = now
        state.next_probe_at = now + _PROBE_S
        self._report_unreachable(target, state)

    def is_unreachable(self, target: Hashable) -> bool:
        """Tell whether a target is out of reach or silent."""
        state = self._states.get(target)
        if state is None:
            return False
        if state.next_probe_at is not None:
            return True
        idle_s = self._clock.monotonic() - state.last_activity_at
        return state.outstanding > 0 and idle_s > UNRESPONSIVE_AFTER_S

    def may_send(self, target: Hashable) -> bool:
        """Tell whether a request may be sent, also as a probe."""
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
        """Note that a request is sent to a target that was lost."""
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
        """Forget all targets but those named and those in use."""
        retained = set(targets)
        for target, state in list(self._states.items()):
            if target not in retained and state.outstanding <= 0:
                self._states.pop(target)
