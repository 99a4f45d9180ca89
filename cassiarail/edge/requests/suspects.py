"""Detect and refuse requests that crash the engines that run them."""

import collections
from collections.abc import Callable, Iterable
from typing import NamedTuple

from cassiarail.core.clock import Clock

# A request is refused once this many target incarnations failed while running
# it. Few harmless requests are running on three failing targets within the
# retention time.
CRASHES_TO_QUARANTINE = 3
_RETENTION_S = 120.0
_MAX_FINGERPRINTS = 5000

TargetIdentity = tuple[str, int]


class SuspectedCrash(NamedTuple):
    """Name a request and the target incarnation that failed with it."""

    fingerprint: str
    target: TargetIdentity


class CrashSuspects:
    """Count the targets that failed while they ran a request."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._crashes: collections.OrderedDict[
            str, dict[TargetIdentity, float]
        ] = collections.OrderedDict()
        self._quarantined: set[str] = set()

    def record(self, fingerprint: str, target: TargetIdentity) -> None:
        """Record a failure that this host or a peer has seen."""
        now = self._clock.monotonic()
        crash_times = self._crashes.setdefault(fingerprint, {})
        crash_times.setdefault(target, now)
        self._crashes.move_to_end(fingerprint)
        recent = [at for at in crash_times.values() if now - at < _RETENTION_S]
        if len(recent) >= CRASHES_TO_QUARANTINE:
            self._quarantined.add(fingerprint)
        while len(self._crashes) > _MAX_FINGERPRINTS:
            oldest, _crash_times = self._crashes.popitem(last=False)
            self._quarantined.discard(oldest)

    def is_quarantined(self, fingerprint: Callable[[], str]) -> bool:
        """Return whether a request is refused.

        ``fingerprint`` is called only if any request is quarantined.
        """
        if not self._quarantined:
            return False
        return fingerprint() in self._quarantined

    def list_recent(self, within_s: float) -> Iterable[SuspectedCrash]:
        """Yield the failures of the last ``within_s`` seconds, newest first."""
        now = self._clock.monotonic()
        for fingerprint in reversed(self._crashes):
            crash_times = self._crashes[fingerprint]
            newest = max(crash_times.values(), default=0)
            if now - newest > within_s:
                return
            for target in crash_times:
                yield SuspectedCrash(fingerprint, target)
