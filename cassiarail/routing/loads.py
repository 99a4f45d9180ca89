"""Estimate the load of a target between its lagging reports."""

import collections

from cassiarail.routing.snapshot import LoadReport

# Reports older than this are ignored; they arrive about once per second.
_HISTORY_S = 10.0
_SLOW_START_FLOOR = 0.1
# With raw reports, all gateways chose the same target for a second, which cost
# more attainment than round robin does; smoothing prevents that.
_REPORT_SMOOTHING = 0.3
# Other gateways change their load much like this one, so the change of the own
# requests since a report is multiplied. Above two, affinity lost prefix hits
# without gaining attainment.
_MAX_AMPLIFICATION = 2.0


class TargetLoad:
    """Count own requests at a target and correct its reports with them."""

    def __init__(self, report_lag_s: float, slow_start_s: float) -> None:
        self.instance: str | None = None
        self.in_flight = 0
        self._report_lag_s = report_lag_s
        self._slow_start_s = slow_start_s
        self._warm_at = float(0)
        self._report: LoadReport | None = None
        self._smoothed_report = float(0)
        self._smoothed_own = float(0)
        self._own_baseline = 0
        self._history: collections.deque[tuple[float, int]] = (
            collections.deque()
        )

    def begin_instance(self, instance: str, now: float, *, warm: bool) -> None:
        """Reset for a new instance; a warm one skips the slow start."""
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
        """Record a report and the own requests at the time it describes."""
        if self._report and self._report.sequence == report.sequence:
            return
        reported = float(report.running + report.queued)
        self._own_baseline = self._find_own_in_flight(
            report.received_at - self._report_lag_s
        )
        if self._report is None:
            self._smoothed_report = reported
            self._smoothed_own = self._own_baseline
        self._report = report
        self._smoothed_report += _REPORT_SMOOTHING * (
            reported - self._smoothed_report
        )
        self._smoothed_own += _REPORT_SMOOTHING * (
            self._own_baseline - self._smoothed_own
        )

    def estimate(self, now: float) -> float:
        """Return the requests at the target, inflated during slow start."""
        load = float(self.in_flight)
        report = self._report
        if report and now - report.received_at < _HISTORY_S:
            change = self.in_flight - self._own_baseline
            load = max(
                load, self._smoothed_report + self._amplification * change
            )
        if now >= self._warm_at:
            return load
        remaining_share = (self._warm_at - now) / self._slow_start_s
        return (load + 1) / max(_SLOW_START_FLOOR, 1 - remaining_share)

    @property
    def _amplification(self) -> float:
        """Return the target's load per own request, within bounds."""
        ratio = self._smoothed_report / max(1, self._smoothed_own)
        return min(_MAX_AMPLIFICATION, max(1, ratio))

    def _count(self, now: float, change: int) -> None:
        self.in_flight += change
        self._history.append((now, self.in_flight))
        # Keep the newest count before the window: it applies at its start.
        while len(self._history) > 1 and self._history[1][0] < now - _HISTORY_S:
            self._history.popleft()

    def _find_own_in_flight(self, instant: float) -> int:
        """Return the own requests in flight at an earlier time."""
        for changed_at, in_flight in reversed(self._history):
            if changed_at <= instant:
                return in_flight
        return 0
