"""Report the load of a target with a lag."""

import collections
from typing import Any, NamedTuple

from cassiarail.core.clock import Clock

_KEPT_SAMPLES = 4096


class LoadNumbers(NamedTuple):
    """Hold the numbers of a load report."""

    running: int
    queued: int
    batch_max: int
    kv_used_bytes: int = 0
    kv_total_bytes: int = 0


class _Sample(NamedTuple):
    sequence: int
    taken_at: float
    numbers: LoadNumbers


class LoadHistory:
    """Keep load samples, and report the one that is old enough.

    ``instance`` and ``leaving`` are current, as section 4.2 states.
    """

    def __init__(self, clock: Clock, instance: str, lag_s: float) -> None:
        self._clock = clock
        self._instance = instance
        self._lag_s = lag_s
        self._sequence = 0
        self._samples: collections.deque[_Sample] = collections.deque(
            maxlen=_KEPT_SAMPLES,
        )

    def sample(self, numbers: LoadNumbers) -> None:
        """Take a sample of the present load."""
        self._sequence += 1
        now = self._clock.monotonic()
        self._samples.append(_Sample(self._sequence, now, numbers))

    def describe(self, leaving: bool) -> dict[str, Any]:
        """Return the report; at least one sample must have been taken."""
        until = self._clock.monotonic() - self._lag_s
        while len(self._samples) > 1 and self._samples[1].taken_at <= until:
            self._samples.popleft()
        sample = self._samples[0]
        return {
            'instance': self._instance,
            'sequence': sample.sequence,
            'leaving': leaving,
            **sample.numbers._asdict(),
            'reported_at': sample.taken_at,
        }
