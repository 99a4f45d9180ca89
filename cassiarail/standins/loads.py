"""Report the load of a target with a delay."""

import collections
from typing import Any, NamedTuple

from cassiarail.core.clock import Clock

_SAMPLES_MAX = 4096


class LoadNumbers(NamedTuple):
    """Hold the values of a load report."""

    running: int
    queued: int
    batch_max: int
    kv_used_bytes: int = 0
    kv_total_bytes: int = 0


class _Sample(NamedTuple):
    sequence: int
    sampled_at: float
    numbers: LoadNumbers


class LoadHistory:
    """Store load samples and report the latest one older than the lag.

    ``instance`` and ``leaving`` are current (docs/design.md, section 4.2).
    """

    def __init__(self, clock: Clock, instance: str, lag_s: float) -> None:
        self._clock = clock
        self._instance = instance
        self._lag_s = lag_s
        self._sequence = 0
        self._samples: collections.deque[_Sample] = collections.deque(
            maxlen=_SAMPLES_MAX,
        )

    def sample(self, numbers: LoadNumbers) -> None:
        """Store a sample of the current load."""
        self._sequence += 1
        now = self._clock.monotonic()
        self._samples.append(_Sample(self._sequence, now, numbers))

    def describe(self, leaving: bool) -> dict[str, Any]:
        """Return the load report; requires at least one sample."""
        cutoff = self._clock.monotonic() - self._lag_s
        while len(self._samples) > 1 and self._samples[1].sampled_at <= cutoff:
            self._samples.popleft()
        sample = self._samples[0]
        return {
            'instance': self._instance,
            'sequence': sample.sequence,
            'leaving': leaving,
            **sample.numbers._asdict(),
            'reported_at': sample.sampled_at,
        }
