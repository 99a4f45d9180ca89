"""Limit the requests in flight at a target according to its latency."""

from collections.abc import Iterable
from typing import NamedTuple

from cassiarail.core.clock import Clock
from cassiarail.limits.fairness import Pool

_SERVICE_SMOOTHING = 0.05
# The remainder of the objective is for the queue of the gateway. With the whole
# objective as latency target, most requests missed it under overload; with
# half, a tenth of the requests were refused at capacity.
_OBJECTIVE_SHARE = 0.625
# With the mean alone, a fifth of the admitted requests were late at ten times
# capacity; with this many mean deviations, nearly all are on time.
_DEVIATIONS = 3.0
# Keeps the estimated rate finite before the first response.
_SHORTEST_SERVICE_S = 0.01


class ConcurrencyRules(NamedTuple):
    """Define the bounds of a limit and its additive and multiplicative steps.

    A latency above ``latency_target_s`` lowers the limit in proportion to the
    excess, at least by the factor ``mildest_factor``, at most by
    ``strongest_factor`` and at most once per ``cooldown_s``, because one slow
    batch delays many responses at once. A target that was full is reserved for
    ``reservation_s`` for requests that prefer it: otherwise overload spreads
    the prefixes over all caches.
    """

    latency_target_s: float = 0.3
    initial: float = 4.0
    minimum: float = 1.0
    maximum: float = 256.0
    increase: float = 1.0
    mildest_factor: float = 0.95
    strongest_factor: float = 0.5
    cooldown_s: float = 0.5
    reservation_s: float = 0.3

    @classmethod
    def for_objective(cls, seconds: float) -> 'ConcurrencyRules':
        """Return rules that reserve a part of an objective for queueing."""
        return cls(latency_target_s=seconds * _OBJECTIVE_SHARE)


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
        self._last_full_at = float('-inf')
        self.in_flight = 0
        self.service_s = float(0)
        self.deviation_s = float(0)

    @property
    def limit(self) -> int:
        """Return the requests that may be in flight."""
        return int(self._limit)

    @property
    def is_free(self) -> bool:
        """Return whether another request may be sent."""
        return self.in_flight < self.limit

    @property
    def is_reserved(self) -> bool:
        """Return whether free slots are reserved for preferring requests."""
        since_s = self._clock.monotonic() - self._last_full_at
        return since_s < self._rules.reservation_s

    def acquire(self) -> None:
        """Count a request sent."""
        self.in_flight += 1

    def release(self) -> None:
        """Count the end of a request."""
        if not self.is_free:
            self._last_full_at = self._clock.monotonic()
        self.in_flight -= 1

    def record_latency(self, seconds: float) -> None:
        """Adapt the limit to the latency of one request."""
        if seconds > self._rules.latency_target_s:
            self._lower(self._rules.latency_target_s / seconds)
        elif self.in_flight * 2 >= self._limit:
            # The latency of an idle target doesn't justify a higher limit.
            step = self._rules.increase / self._limit
            self._limit = min(self._rules.maximum, self._limit + step)

    def record_overload(self) -> None:
        """Lower the limit after a refusal or a timeout."""
        self._lower(self._rules.strongest_factor)

    def record_service(self, seconds: float) -> None:
        """Update the average time that a request occupies the target."""
        if not self.service_s:
            self.service_s = seconds
            self.deviation_s = seconds / 2
        error_s = seconds - self.service_s
        self.service_s += _SERVICE_SMOOTHING * error_s
        self.deviation_s += _SERVICE_SMOOTHING * (
            abs(error_s) - self.deviation_s
        )

    def _lower(self, factor: float) -> None:
        now = self._clock.monotonic()
        if now - self._lowered_at < self._rules.cooldown_s:
            return
        self._lowered_at = now
        bounded = min(
            self._rules.mildest_factor,
            max(self._rules.strongest_factor, factor),
        )
        self._limit = max(self._rules.minimum, self._limit * bounded)


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
        """Remove idle targets other than the named ones."""
        for name, limit in tuple(self._limits.items()):
            if name not in names and not limit.in_flight:
                self._limits.pop(name)

    def list_free(self, pool: Pool) -> list[str]:
        """Return the targets that may accept a request of a pool."""
        free = [name for name in pool.names if self.find(name).is_free]
        if not pool.preferred:
            return free
        return [
            name
            for name in free
            if name in pool.preferred or not self.find(name).is_reserved
        ]

    def estimate_rate(self, names: Iterable[str]) -> float:
        """Return the requests per second that full targets complete."""
        limits = [self.find(name) for name in names]
        return sum(
            limit.limit / max(_SHORTEST_SERVICE_S, limit.service_s)
            for limit in limits
        )

    def estimate_service(self, names: Iterable[str]) -> float:
        """Return the seconds within which nearly all requests complete.

        Return zero before the first response.
        """
        known = [
            limit.service_s + _DEVIATIONS * limit.deviation_s
            for limit in map(self.find, names)
            if limit.service_s
        ]
        return sum(known) / len(known) if known else 0
