"""Estimate the demand for each model from the gateways' reports.

Each report holds absolute values, so that the next report makes up for a lost
one, and a removed gateway stops counting when its last report expires.
"""

import math
from collections.abc import Mapping
from typing import NamedTuple

from cassiarail.core.clock import Clock

REPORT_LIFETIME_S = 10.0
_LEVEL_TIME_S = 15.0
_TREND_TIME_S = 60.0
_VARIANCE_TIME_S = 120.0


class Forecast(NamedTuple):
    """Hold the expected concurrent requests and their variance."""

    demand: float
    variance: float


class _Report(NamedTuple):
    received_at: float
    in_flight: Mapping[str, float]


class _Series:
    """Track level, trend and error variance of one model's demand."""

    def __init__(self, level: float, now: float) -> None:
        self.level = level
        self.trend = float(0)
        self.variance = float(0)
        self.updated_at = now

    def update(self, observed: float, now: float) -> None:
        """Add an observation made at ``now``, in seconds."""
        passed = now - self.updated_at
        if passed <= 0:
            return
        expected = self.level + self.trend * passed
        error = observed - expected
        gain = 1 - math.exp(-passed / _LEVEL_TIME_S)
        trend_gain = 1 - math.exp(-passed / _TREND_TIME_S)
        variance_gain = 1 - math.exp(-passed / _VARIANCE_TIME_S)
        before = self.level
        self.level = expected + gain * error
        step = (self.level - before) / passed
        self.trend += trend_gain * (step - self.trend)
        self.variance += variance_gain * (error * error - self.variance)
        self.updated_at = now

    def forecast(self, horizon_s: float) -> Forecast:
        """Return the expected demand after a horizon in seconds."""
        demand = self.level + self.trend * horizon_s
        return Forecast(max(0, demand), self.variance)


class DemandTracker:
    """Sum the gateways' reports and forecast each model's demand."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._reports: dict[str, _Report] = {}
        self._series: dict[str, _Series] = {}

    def report(self, gateway: str, in_flight: Mapping[str, float]) -> None:
        """Replace the reported values of one gateway.

        ``in_flight`` holds the mean concurrent requests of each model,
        queued ones included.
        """
        now = self._clock.monotonic()
        self._reports[gateway] = _Report(now, dict(in_flight))

    def update(self) -> None:
        """Add the current totals to the series of every model."""
        now = self._clock.monotonic()
        oldest = now - REPORT_LIFETIME_S
        self._reports = {
            name: report
            for name, report in self._reports.items()
            if report.received_at >= oldest
        }
        sums = dict.fromkeys(self._series, float(0))
        for report in self._reports.values():
            for model, count in report.in_flight.items():
                sums[model] = sums.get(model, 0) + count
        for model, total in sums.items():
            if model not in self._series:
                self._series[model] = _Series(total, now)
            self._series[model].update(total, now)

    def forecast(self, model: str, horizon_s: float = 5.0) -> Forecast:
        """Return a model's forecast; zero if it was never requested."""
        series = self._series.get(model)
        return series.forecast(horizon_s) if series else Forecast(0, 0)
