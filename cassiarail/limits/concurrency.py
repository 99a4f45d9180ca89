"""Limit the requests in flight at a target by its latency."""

from collections.abc import Iterable
from typing import NamedTuple

from cassiarail.core.clock import Clock

_SERVICE_SMOOTHING = 0.05
# Keeps the estimated rate finite before the first response.
_SHORTEST_SERVICE_S = 0.01


class ConcurrencyRules(NamedTuple):
    """Hold the bounds of a limit and its additive and multiplicative steps.

    A latency above ``latency_target_s`` lowers the limit, at most once in
    ``cooldown_s``: one slow batch shows in many answers at once.
    """

    latency_target_s: float = 0.48
    initial: float = 8.0
    minimum: float = 1.0
    maximum: float = 256.0
    increase: float = 1.0
    decrease: float = 0.85
    cooldown_s: float = 1.0


class ConcurrencyLimit:
    """Adapt the limit of one target by AIMD, so that its latency stays low.

    The latency is the time to the first token or, for plain services, to the
    response.
    """

    def __init__(self, clock: Clock, rules: ConcurrencyRules) -> None:
        self._clock = clock
        self._rules = rules
        self._limit = rules.initial
        self._lowered_at = float('-inf')
        self.in_flight = 0
        self.service_s = float(0)

    @property
    def limit(self) -> int:
        """Return the requests that may be in flight."""
        return int(self._limit)

    @property
    def is_free(self) -> bool:
        """Tell whether another request may be sent."""
        return self.in_flight < self.limit

    def acquire(self) -> None:
        """Count a request sent."""
        self.in_flight += 1

    def release(self) -> None:
        """Count the end of a request."""
        self.in_flight -= 1

    def record_latency(self, seconds: float) -> None:
        """Adapt the limit to the latency of one request."""
        if seconds > self._rules.latency_target_s:
            self.record_overload()
        elif self.in_flight * 2 >= self._limit:
            # An idle target's latency tells nothing about a higher limit.
            step = self._rules.increase / self._limit
            self._limit = min(self._rules.maximum, self._limit + step)

    def record_overload(self) -> None:
        """Lower the limit after a refusal, a time-out or a late response."""
        now = self._clock.monotonic()
        if now - self._lowered_at < self._rules.cooldown_s:
            return
        self._lowered_at = now
        lowered = self._limit * self._rules.decrease
        self._limit = max(self._rules.minimum, lowered)

    def record_service(self, seconds: float) -> None:
        """Average the time that a request occupies the target."""
        if not self.service_s:
            self.service_s = seconds
        self.service_s += _SERVICE_SMOOTHING * (seconds - self.service_s)


class ConcurrencyLimits:
    """Hold the limits of all targets."""

    def __init__(
        self,
        clock: Clock,
        rules: ConcurrencyRules | None = None,
    ) -> None:
        self._clock = clock
        self._rules = rules or ConcurrencyRules()
        self._limits: dict[str, ConcurrencyLimit] = {}

    def find(self, name: str) -> ConcurrencyLimit:
        """Return the limit of a target."""
        if name not in self._limits:
            self._limits[name] = ConcurrencyLimit(self._clock, self._rules)
        return self._limits[name]

    def retain(self, names: frozenset[str]) -> None:
        """Forget idle targets other than the named ones."""
        for name, limit in tuple(self._limits.items()):
            if name not in names and not limit.in_flight:
                self._limits.pop(name)

    def list_free(self, names: Iterable[str]) -> list[str]:
        """Return the targets that may take another request."""
        return [name for name in names if self.find(name).is_free]

    def estimate_rate(self, names: Iterable[str]) -> float:
        """Return the requests a second that the targets complete when full."""
        limits = [self.find(name) for name in names]
        return sum(
            limit.limit / max(_SHORTEST_SERVICE_S, limit.service_s)
            for limit in limits
        )

    def estimate_service(self, names: Iterable[str]) -> float:
        """Return the mean seconds that a request occupies a target.

        Zero before the first response.
        """
        times = [self.find(name).service_s for name in names]
        known = [seconds for seconds in times if seconds]
        return sum(known) / len(known) if known else 0
