"""Learn how long the requests of each route usually take."""

from cassiarail.core.clock import Clock

# RFC 6298, section 2: the weights of a sample in the smoothed mean and in the
# smoothed deviation.
_MEAN_WEIGHT = 0.125
_DEVIATION_WEIGHT = 0.25
# Fewer samples than this may all be exceptions.
_MIN_SAMPLES = 8
# Targets and prompts change; older samples describe neither.
_LIFETIME_S = 60.0


class _RouteDurations:
    """Smooth the durations of one route, in seconds."""

    def __init__(self) -> None:
        self.count = 0
        self.newest_at = float(0)
        self.mean_s = float(0)
        self.deviation_s = float(0)

    def add(self, seconds: float) -> None:
        """Add one sample."""
        self.count += 1
        if self.count == 1:
            self.mean_s = seconds
            self.deviation_s = seconds / 2
            return
        error_s = seconds - self.mean_s
        self.deviation_s += _DEVIATION_WEIGHT * (
            abs(error_s) - self.deviation_s
        )
        self.mean_s += _MEAN_WEIGHT * error_s


class DurationEstimator:
    """Estimate durations, from the sending to the end of the response."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._routes: dict[str, _RouteDurations] = {}

    def record(self, route: str, seconds: float) -> None:
        """Record how long an answered request of a route took."""
        durations = self._routes.get(route)
        if durations is None or self._is_outdated(durations):
            self._remove_outdated()
            durations = _RouteDurations()
            self._routes[route] = durations
        durations.add(seconds)
        durations.newest_at = self._clock.monotonic()

    def estimate(self, route: str) -> float:
        """Return the seconds in which most requests end, or 0 if unknown."""
        durations = self._routes.get(route)
        if durations is None or self._is_outdated(durations):
            return 0
        if durations.count < _MIN_SAMPLES:
            return 0
        return durations.mean_s + durations.deviation_s

    def _is_outdated(self, durations: _RouteDurations) -> bool:
        return self._clock.monotonic() - durations.newest_at > _LIFETIME_S

    def _remove_outdated(self) -> None:
        """Bound the memory over changes of the configuration."""
        for route in list(self._routes):
            if self._is_outdated(self._routes[route]):
                self._routes.pop(route)
