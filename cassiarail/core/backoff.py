"""Compute delays between retries."""

import random
from typing import NamedTuple


class Backoff(NamedTuple):
    """Compute exponential back-off with full jitter.

    Full jitter draws from the whole interval, so that clients that failed at
    the same time don't retry at the same time.
    """

    base_s: float = 0.05
    cap_s: float = 5.0

    def delay(self, attempt: int, generator: random.Random) -> float:
        """Return the seconds to wait before a retry; ``attempt`` is 0-based."""
        ceiling = min(self.cap_s, self.base_s * 2**attempt)
        return generator.uniform(0, ceiling)
