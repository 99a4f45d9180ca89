"""Estimate how much longer than usual work takes on each target's machine.

Targets share their machines with others and may report, with each response,
how long work takes at that moment. The figure changes many times a second, so
a reading is worth less with each moment that passes: the estimate returns to
the machine's long-term mean, and its spread grows to that of the machine.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

# A reading and the value this much later are correlated by 1/e.
_CORRELATION_S = 0.25
# Over this time, readings replace the long-term mean and spread.
_MEMORY_S = 10.0
# Readings beyond these are mistakes of the target rather than measurements.
_MIN_SLOWDOWN = 0.1
_MAX_SLOWDOWN = 20.0
# How long work takes on a machine of which nothing is known.
_USUAL = 1.0


class SlowdownEstimate(NamedTuple):
    """Describe how much longer than usual work takes on a machine now.

    ``spread`` is the standard deviation of the true value about ``mean``.
    ``age_s`` is infinite if the target never reported the figure.
    """

    mean: float
    spread: float
    age_s: float


_UNKNOWN = SlowdownEstimate(_USUAL, 0, math.inf)


class _Machine:
    """Hold the readings of one machine; times are monotonic seconds."""

    def __init__(self) -> None:
        self._newest = _USUAL
        self._read_at = -math.inf
        self._mean = _USUAL
        self._variance = float(0)

    def record(self, slowdown: float, now: float) -> None:
        """Weigh a reading by the time for which it stands."""
        stands_s = min(_CORRELATION_S, max(0, now - self._read_at))
        weight = 1 - math.exp(-stands_s / _MEMORY_S)
        difference = slowdown - self._mean
        self._mean += weight * difference
        self._variance += weight * (difference**2 - self._variance)
        self._newest = slowdown
        self._read_at = max(self._read_at, now)

    def estimate(self, now: float) -> SlowdownEstimate:
        """Return the estimate for the present moment."""
        age_s = max(0, now - self._read_at)
        correlation = math.exp(-age_s / _CORRELATION_S)
        return SlowdownEstimate(
            self._mean + correlation * (self._newest - self._mean),
            math.sqrt(self._variance * (1 - correlation**2)),
            age_s,
        )


class SlowdownTracker:
    """Track the reported slowdown of targets, by their instance."""

    def __init__(self) -> None:
        self._machines: dict[str, _Machine] = {}

    def record(self, instance: str, slowdown: float, now: float) -> None:
        """Record a reading: how many times longer than usual work takes."""
        bounded = min(_MAX_SLOWDOWN, max(_MIN_SLOWDOWN, slowdown))
        machine = self._machines.setdefault(instance, _Machine())
        machine.record(bounded, now)

    def estimate(self, instance: str, now: float) -> SlowdownEstimate:
        """Return the estimate of a target, 1.0 if it never reported."""
        machine = self._machines.get(instance)
        return _UNKNOWN if machine is None else machine.estimate(now)

    def retain(self, instances: Iterable[str]) -> None:
        """Forget all targets but the named ones."""
        retained = set(instances)
        for instance in list(self._machines):
            if instance not in retained:
                self._machines.pop(instance)
