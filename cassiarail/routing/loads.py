"""Estimate the load of a target between its lagging reports."""

import collections

from cassiarail.routing.snapshot import LoadReport

# Reports older than this are ignored; reports come about once a second.
_HISTORY_S = 10.0
_SLOW_START_FLOOR = 0.1
# Raw reports made all gateways rush to the same target for a second, which
# cost more attainment than round robin does; smoothing ends that.
_REPORT_SMOOTHING = 0.3
# Other gateways change their requests much as this one does, so the own change
# since a report counts more than once. Above two, affinity lost prefix hits
# without gaining attainment.
_MAX_AMPLIFICATION = 2.0


class TargetLoad:
    """Count own requests at a target and correct its reports by them."""

    def __init__(self, report_lag_s: float, slow_start_s: float) -> None:
        self.instance: str | None = None
        self.in_flight = 0
        self._report_lag_s = report_lag_s
        self._slow_start_s = slow_start_s
        self._warm_at = float(0)
        self._report: LoadReport | None = None
        self._reported = float(0)
        self._own_then = float(0)
        self._baseline = 0
        self._history: collections.deque[tuple[float, int]] = (
            collections.deque()
        )

    def begin_instance(self, instance: str, now: float, *, warm: bool) -> None:
        """Start over for a new instance; a warm one takes full load at once."""
        self.instance = instance
        self._report = None
        self._warm_at = now if warm else now + self._slow_start_s

    def start(self, now: float) -> None:
        """Count a request sent."""
        self._count(now, 1)

    def finish(self, now: float) -> None:
        """Count a request ended."""
        self._count(now, -1)

    def record_report(self, report: LoadReport) -> None:
        """Remember a report and the own requests at the time it describes."""
        if self._report and self._report.sequence == report.sequence:
            return
        reported = float(report.running + report.queued)
        self._baseline = self._recall(report.received_at - self._report_lag_s)
        if self._report is None:
            self._reported = reported
            self._own_then = self._baseline
        self._report = report
        self._reported += _REPORT_SMOOTHING * (reported - self._reported)
        self._own_then += _REPORT_SMOOTHING * (self._baseline - self._own_then)

    def estimate(self, now: float) -> float:
        """Return the requests at the target, raised during slow start."""
        load = float(self.in_flight)
        report = self._report
        if report and now - report.received_at < _HISTORY_S:
            change = self.in_flight - self._baseline
            load = max(load, self._reported + self._amplification * change)
        if now >= self._warm_at:
            return load
        left = (self._warm_at - now) / self._slow_start_s
        return (load + 1) / max(_SLOW_START_FLOOR, 1 - left)

    @property
    def _amplification(self) -> float:
        """Return how much of the target's load one own request stands for."""
        share = self._reported / max(1, self._own_then)
        return min(_MAX_AMPLIFICATION, max(1, share))

    def _count(self, now: float, change: int) -> None:
        self.in_flight += change
        self._history.append((now, self.in_flight))
        # The newest count before the window is kept: it holds at its start.
        while len(self._history) > 1 and self._history[1][0] < now - _HISTORY_S:
            self._history.popleft()

    def _recall(self, moment: float) -> int:
        """Return the own requests in flight at a moment of the past."""
        for changed_at, in_flight in reversed(self._history):
            if changed_at <= moment:
                return in_flight
        return 0
