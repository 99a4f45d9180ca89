"""Propagate the deadline of a request across hops."""

from typing import NamedTuple

from cassiarail.core.clock import Clock

TIMEOUT_HEADER = 'x-timeout-ms'
_MILLISECONDS_PER_SECOND = 1000


class Deadline(NamedTuple):
    """Hold the monotonic time in seconds at which a request expires."""

    expires_at: float

    @classmethod
    def after(cls, clock: Clock, seconds: float) -> 'Deadline':
        """Return the deadline a number of seconds from now."""
        return cls(clock.monotonic() + seconds)

    def remaining(self, clock: Clock) -> float:
        """Return the remaining seconds, at least 0."""
        return max(0, self.expires_at - clock.monotonic())

    def has_expired(self, clock: Clock) -> bool:
        """Return whether the deadline has passed."""
        return clock.monotonic() >= self.expires_at

    def format_header(self, clock: Clock) -> str:
        """Return the remaining milliseconds as a header for the next hop."""
        return str(int(self.remaining(clock) * _MILLISECONDS_PER_SECOND))
