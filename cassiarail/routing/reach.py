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
from cassiarail.routing.events import TARGET_LOST, TARGET_REGAINED

# Several times the longest first answer of a target that is not overloaded.
SILENT_S = 0.8
# One request tries a target again after this long.
_PROBE_S = 1.0


class _Reach:
    """Hold what is known of one target; times are of the clock."""

    def __init__(self) -> None:
        self.outstanding = 0
        self.quiet_since = float(0)
        self.failed_until: float | None = None
        self.is_told = False


class ReachabilityTracker:
    """Follow what comes from targets, each named by a hashable identity."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._reaches: dict[Hashable, _Reach] = {}

    def begin(self, target: Hashable) -> None:
        """Note that a request was sent."""
        reach = self._reaches.setdefault(target, _Reach())
        if not reach.outstanding:
            reach.quiet_since = self._clock.monotonic()
        reach.outstanding += 1

    def end(self, target: Hashable) -> None:
        """Note that a request has ended, however it did."""
        reach = self._reaches.get(target)
        if reach is not None:
            reach.outstanding -= 1

    def record_activity(self, target: Hashable) -> None:
        """Note that a target has sent something."""
        reach = self._reaches.setdefault(target, _Reach())
        if reach.is_told:
            reach.is_told = False
            emit_event(
                TARGET_REGAINED,
                target=str(target),
                silent_s=self._clock.monotonic() - reach.quiet_since,
            )
        reach.quiet_since = self._clock.monotonic()
        reach.failed_until = None

    def record_connect_failure(self, target: Hashable) -> None:
        """Note that a connection could not be opened in time."""
        reach = self._reaches.setdefault(target, _Reach())
        now = self._clock.monotonic()
        if not reach.outstanding:
            reach.quiet_since = now
        reach.failed_until = now + _PROBE_S
        self._tell_loss(target, reach)

    def is_unreachable(self, target: Hashable) -> bool:
        """Tell whether a target is out of reach or silent."""
        reach = self._reaches.get(target)
        if reach is None:
            return False
        if reach.failed_until is not None:
            return True
        quiet_s = self._clock.monotonic() - reach.quiet_since
        return reach.outstanding > 0 and quiet_s > SILENT_S

    def may_send(self, target: Hashable) -> bool:
        """Tell whether a request may be sent, also as a probe."""
        if not self.is_unreachable(target):
            return True
        now = self._clock.monotonic()
        reach = self._reaches[target]
        self._tell_loss(target, reach)
        if reach.failed_until is None:
            reach.failed_until = reach.quiet_since + SILENT_S + _PROBE_S
        return now >= reach.failed_until

    def begin_probe(self, target: Hashable) -> None:
        """Note that a request is sent to a target that was lost."""
        reach = self._reaches.get(target)
        if reach is not None and reach.failed_until is not None:
            reach.failed_until = self._clock.monotonic() + _PROBE_S

    def _tell_loss(self, target: Hashable, reach: _Reach) -> None:
        if not reach.is_told:
            reach.is_told = True
            emit_event(
                TARGET_LOST,
                target=str(target),
                outstanding=reach.outstanding,
                silent_s=self._clock.monotonic() - reach.quiet_since,
            )

    def retain(self, targets: Iterable[Hashable]) -> None:
        """Forget all targets but those named and those in use."""
        kept = set(targets)
        for target, reach in list(self._reaches.items()):
            if target not in kept and reach.outstanding <= 0:
                self._reaches.pop(target)
