"""Limit the loads of one data centre to its share of the platform's."""

from collections.abc import Sequence
from typing import NamedTuple

from cassiarail.core.clock import Clock
from cassiarail.declarations.schema import PlatformLimits


class LoadShare(NamedTuple):
    """Hold the share of one data centre."""

    weight_loads_per_second: float
    weight_loads_at_once: int
    adapter_loads_in_flight: int


def share_limits(
    limits: PlatformLimits,
    data_centres: Sequence[str],
    name: str,
) -> LoadShare:
    """Return the share of a data centre; all shares add up to the limits.

    What can't be divided evenly goes to the data centres named first.
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
    """Allow a number of loads a second, without saving up unused ones.

    The first load has to wait a whole interval, because an earlier holder of
    the lease may just have started one.
    """

    def __init__(self, per_second: float, clock: Clock) -> None:
        """Take the rate in loads a second."""
        self._interval_s = 1 / per_second
        self._clock = clock
        self._next_at = clock.monotonic() + self._interval_s

    def try_acquire(self) -> bool:
        """Take one load if the rate allows it now."""
        now = self._clock.monotonic()
        if now < self._next_at:
            return False
        self._next_at = now + self._interval_s
        return True
