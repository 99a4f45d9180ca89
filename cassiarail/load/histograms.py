"""Keep latencies in HDR histograms."""

from hdrh.histogram import HdrHistogram

_MICROSECONDS = 1_000_000
_LOWEST_US = 1
_HIGHEST_US = 3_600_000_000
_FIGURES = 3


class Latencies:
    """Count durations between 1 microsecond and 1 hour."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(_LOWEST_US, _HIGHEST_US, _FIGURES)

    @property
    def count(self) -> int:
        """Return the number of durations."""
        return int(self._histogram.get_total_count())

    def record(self, seconds: float) -> None:
        """Count a duration."""
        microseconds = int(seconds * _MICROSECONDS)
        bounded = max(_LOWEST_US, min(_HIGHEST_US, microseconds))
        self._histogram.record_value(bounded)

    def percentile(self, percent: float) -> float:
        """Return a percentile in seconds; 0 without any duration."""
        if not self.count:
            return 0
        microseconds = self._histogram.get_value_at_percentile(percent)
        return float(microseconds) / _MICROSECONDS
