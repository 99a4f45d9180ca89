"""Count the requests at a target, of this host and of others."""

import math

# A report counts less as it ages, and not at all from this age on.
_REPORT_LIFETIME_S = 2.0
# Smoothing weight of a new report; single reports are bursty.
_REPORT_WEIGHT = 0.5


class TargetUsage:
    """Count own requests at a target and estimate those of other hosts."""

    def __init__(self) -> None:
        self.own = 0
        self._others = float(0)
        self._reported_at = -math.inf

    @property
    def reported_at(self) -> float:
        """Return when the newest report was made."""
        return self._reported_at

    def record_report(self, total: int, now: float) -> float:
        """Record a target's reported request count, own requests included.

        Returns the requests of other hosts in it.
        """
        others = max(0, total - self.own)
        if now - self._reported_at > _REPORT_LIFETIME_S:
            self._others = others
        else:
            self._others += _REPORT_WEIGHT * (others - self._others)
        self._reported_at = now
        return others

    def estimate_others(self, usual: float, now: float) -> float:
        """Return the expected requests of other hosts.

        Without a recent report, ``usual`` are expected.
        """
        age_s = now - self._reported_at
        freshness = max(0, 1 - age_s / _REPORT_LIFETIME_S)
        return usual + freshness * (self._others - usual)

    def estimate(self, now: float) -> float:
        """Return the expected requests at the target."""
        return self.own + self.estimate_others(0, now)
