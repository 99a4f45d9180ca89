"""Estimate the use of an account on one host, and what to hold for it."""

import math

# An account that wasn't used for this long is idle.
_IDLE_S = 1.5
# Units are requested for this time of recent use, and for some requests more.
_AHEAD_S = 6.0
_AHEAD_REQUESTS = 2
_USE_DECAY_S = 2.0
_COST_WEIGHT = 0.25


class RecentUse:
    """Estimate how fast an account's units are used on this host."""

    def __init__(self, now: float) -> None:
        self.used_at = now
        self._units = float(0)
        self.mean_cost = float(0)

    def record(self, cost: float, now: float) -> None:
        """Count the units of a request."""
        self._units = self._decay(now) + cost
        self.used_at = now
        self.mean_cost += (cost - self.mean_cost) * _COST_WEIGHT

    def is_idle(self, now: float) -> bool:
        """Return whether the account wasn't used for some time."""
        return now - self.used_at > _IDLE_S

    def compute_target(self, now: float) -> float:
        """Return the units to hold for the requests to come."""
        if self.is_idle(now):
            return 0
        ahead = self._decay(now) / _USE_DECAY_S * _AHEAD_S
        return ahead + self.mean_cost * _AHEAD_REQUESTS

    def _decay(self, now: float) -> float:
        return self._units * math.exp((self.used_at - now) / _USE_DECAY_S)
