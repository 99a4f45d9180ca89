"""Compute delays between retries."""

import random
from typing import NamedTuple


class Backoff(NamedTuple):
    """Spread retries by exponential back-off with full jitter.

    Full jitter draws from the whole interval, which keeps clients that failed
    together from returning together.
    """

    base_s: float = 0.05
    cap_s: float = 5.0

    def delay(self, attempt: int, generator: random.Random) -> float:
        """Return the seconds to wait before a retry; attempts count from 0."""
        ceiling = min(self.cap_s, self.base_s * 2**attempt)
        return generator.uniform(0, ceiling)
