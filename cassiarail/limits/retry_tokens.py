"""Limit retries to a share of successes."""

from cassiarail.core.clock import Clock


class RetryTokens:
    """Allow retries as a share of successes plus a small base rate.

    The base rate ``floor_per_s`` lets a gateway with little traffic retry.
    """

    def __init__(
        self,
        clock: Clock,
        *,
        share: float = 0.1,
        floor_per_s: float = 0.2,
        burst: float = 10.0,
    ) -> None:
        self._clock = clock
        self._share = share
        self._floor_per_s = floor_per_s
        self._burst = burst
        self._tokens = min(1.0, burst)
        self._refilled_at = clock.monotonic()

    def record_success(self) -> None:
        """Add the share of a retry token."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def try_spend(self) -> bool:
        """Spend one token and return whether there was one."""
        now = self._clock.monotonic()
        earned = (now - self._refilled_at) * self._floor_per_s
        self._refilled_at = now
        self._tokens = min(self._burst, self._tokens + earned)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
