"""Measure the callers' demand on this host."""

import collections
import contextlib
from collections.abc import Iterator
from typing import NamedTuple

from cassiarail.core.clock import Clock
from cassiarail.edge.registry.targets import ModelVariant

_WINDOW_S = 3.0


class Demand(NamedTuple):
    """Describe the demand for a model or adapter.

    ``requested`` counts requests in the last ``_WINDOW_S`` seconds,
    ``refused`` those of them that were rejected, ``in_flight`` those in
    progress. ``objective_s`` is the shortest objective of the requests
    counted.
    """

    service: str
    variant: ModelVariant
    requested: int
    in_flight: int
    refused: int
    objective_s: float


_Key = tuple[str, ModelVariant]


class _TimedRequest(NamedTuple):
    """Hold the time of a request and what it needed."""

    at: float
    key: _Key
    objective_s: float = 0


class DemandMeter:
    """Count requests by service and model variant."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._in_flight: collections.Counter[_Key] = collections.Counter()
        self._requested: collections.deque[_TimedRequest] = collections.deque()
        self._refused: collections.deque[_TimedRequest] = collections.deque()

    @contextlib.contextmanager
    def track(
        self,
        service: str,
        variant: ModelVariant | None,
        objective_s: float,
    ) -> Iterator[None]:
        """Count a request while it is in progress."""
        if variant is None:
            yield
            return
        key = (service, variant)
        request = _TimedRequest(self._clock.monotonic(), key, objective_s)
        self._requested.append(request)
        self._in_flight[key] += 1
        try:
            yield
        finally:
            self._in_flight[key] -= 1
            if not self._in_flight[key]:
                self._in_flight.pop(key)

    def record_refused(self, service: str, variant: ModelVariant) -> None:
        """Count a request that was rejected because no target serves it."""
        now = self._clock.monotonic()
        self._refused.append(_TimedRequest(now, (service, variant)))

    def measure(self) -> list[Demand]:
        """Return the demand of the last seconds."""
        oldest = self._clock.monotonic() - _WINDOW_S
        for requests in (self._requested, self._refused):
            while requests and requests[0].at < oldest:
                requests.popleft()
        requested = collections.Counter(each.key for each in self._requested)
        refused = collections.Counter(each.key for each in self._refused)
        keys = requested.keys() | {
            key for key, count in self._in_flight.items() if count
        }
        objectives: dict[_Key, float] = {}
        for request in self._requested:
            known = objectives.get(request.key, request.objective_s)
            objectives[request.key] = min(known, request.objective_s)
        return [
            Demand(
                *key,
                requested[key],
                self._in_flight[key],
                refused[key],
                objectives.get(key, 0),
            )
            for key in sorted(keys)
        ]
