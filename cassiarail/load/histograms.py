"""Record latencies in HDR histograms."""

from hdrh.histogram import HdrHistogram

_MICROSECONDS_PER_SECOND = 1_000_000
_LOWEST_US = 1
_HIGHEST_US = 3_600_000_000
_SIGNIFICANT_FIGURES = 3


class Latencies:
    """Record durations between 1 microsecond and 1 hour."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(
            _LOWEST_US, _HIGHEST_US, _SIGNIFICANT_FIGURES
        )

    @property
    def count(self) -> int:
        """Return the number of recorded durations."""
        return int(self._histogram.get_total_count())

    def record(self, seconds: float) -> None:
        """Record a duration; values out of range count as the nearest bound."""
        microseconds = int(seconds * _MICROSECONDS_PER_SECOND)
        bounded = max(_LOWEST_US, min(_HIGHEST_US, microseconds))
        self._histogram.record_value(bounded)

    def percentile(self, percent: float) -> float:
        """Return a percentile in seconds, or 0 if nothing was recorded."""
        if not self.count:
            return 0
        microseconds = self._histogram.get_value_at_percentile(percent)
        return float(microseconds) / _MICROSECONDS_PER_SECOND
