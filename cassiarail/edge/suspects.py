"""Stop requests that crash the engines which run them."""

import collections
from collections.abc import Callable, Iterable
from typing import NamedTuple

from cassiarail.core.clock import Clock

# A request that was lost with this many starts of targets is refused. Few
# bystanders are lost with three targets within the memory.
CRASHES_TO_QUARANTINE = 3
_MEMORY_S = 120.0
_MAX_FINGERPRINTS = 5000

Identity = tuple[str, int]


class Loss(NamedTuple):
    """Name a request that was lost with a start of a target."""

    fingerprint: str
    target: Identity


class CrashSuspects:
    """Count the targets that were lost while they ran a request."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._losses: collections.OrderedDict[str, dict[Identity, float]] = (
            collections.OrderedDict()
        )
        self._quarantined: set[str] = set()

    def record(self, fingerprint: str, target: Identity) -> None:
        """Remember a loss, seen here or told by a peer."""
        now = self._clock.monotonic()
        seen = self._losses.setdefault(fingerprint, {})
        seen.setdefault(target, now)
        self._losses.move_to_end(fingerprint)
        recent = [at for at in seen.values() if now - at < _MEMORY_S]
        if len(recent) >= CRASHES_TO_QUARANTINE:
            self._quarantined.add(fingerprint)
        while len(self._losses) > _MAX_FINGERPRINTS:
            oldest, _seen = self._losses.popitem(last=False)
            self._quarantined.discard(oldest)

    def is_quarantined(self, fingerprint: Callable[[], str]) -> bool:
        """Tell whether a request is refused; digests are made if needed."""
        if not self._quarantined:
            return False
        return fingerprint() in self._quarantined

    def list_recent(self, within_s: float) -> Iterable[Loss]:
        """Yield the losses of the last seconds, newest first."""
        now = self._clock.monotonic()
        for fingerprint in reversed(self._losses):
            seen = self._losses[fingerprint]
            newest = max(seen.values(), default=0)
            if now - newest > within_s:
                return
            for target in seen:
                yield Loss(fingerprint, target)
