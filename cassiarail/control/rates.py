"""Limit the loads of a data centre to its share of the platform limits."""

from collections.abc import Sequence
from typing import NamedTuple

from cassiarail.core.clock import Clock
from cassiarail.declarations.schema import PlatformLimits


class LoadShare(NamedTuple):
    """Hold the share of the load limits of one data centre."""

    weight_loads_per_second: float
    weight_loads_at_once: int
    adapter_loads_in_flight: int


def share_limits(
    limits: PlatformLimits,
    data_centres: Sequence[str],
    name: str,
) -> LoadShare:
    """Return the share of a data centre; all shares add up to the limits.

    The remainder of an uneven division goes to the data centres listed first.
    """
    return LoadShare(
        limits['weight_loads_per_second'] / len(data_centres),
        _divide(limits['weight_loads_at_once'], data_centres, name),
        _divide(limits['adapter_loads_in_flight'], data_centres, name),
    )


def _divide(total: int, names: Sequence[str], name: str) -> int:
    share, remainder = divmod(total, len(names))
    return share + int(names.index(name) < remainder)


class LoadRateLimiter:
    """Limit the rate of loads without accumulating unused ones.

    The first load waits a whole interval, because the previous lease holder
    may just have started one.
    """

    def __init__(self, per_second: float, clock: Clock) -> None:
        """Set the rate in loads per second."""
        self._interval_s = 1 / per_second
        self._clock = clock
        self._next_at = clock.monotonic() + self._interval_s

    def try_acquire(self) -> bool:
        """Count one load and return whether the rate allows it now."""
        now = self._clock.monotonic()
        if now < self._next_at:
            return False
        self._next_at = now + self._interval_s
        return True
