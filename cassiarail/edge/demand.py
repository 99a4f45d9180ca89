"""Measure what callers ask for on this host."""

import collections
import contextlib
from collections.abc import Iterator
from typing import NamedTuple

from cassiarail.core.clock import Clock
from cassiarail.edge.targets import ModelVariant

_WINDOW_S = 3.0


class Demand(NamedTuple):
    """Describe the demand for a model or adapter.

    ``asked`` counts requests in the last ``_WINDOW_S`` seconds, ``refused``
    those of them that were turned away, ``in_flight`` those in progress.
    ``objective_s`` is the shortest objective of the requests counted.
    """

    service: str
    want: ModelVariant
    asked: int
    in_flight: int
    refused: int
    objective_s: float


_Key = tuple[str, ModelVariant]


class _Moment(NamedTuple):
    """Hold when something was asked for."""

    at: float
    key: _Key
    objective_s: float = 0


class DemandMeter:
    """Count requests by what they need."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._in_flight: collections.Counter[_Key] = collections.Counter()
        self._asked: collections.deque[_Moment] = collections.deque()
        self._refused: collections.deque[_Moment] = collections.deque()

    @contextlib.contextmanager
    def track(
        self,
        service: str,
        want: ModelVariant | None,
        objective_s: float,
    ) -> Iterator[None]:
        """Count a request while it is in progress."""
        if want is None:
            yield
            return
        key = (service, want)
        moment = _Moment(self._clock.monotonic(), key, objective_s)
        self._asked.append(moment)
        self._in_flight[key] += 1
        try:
            yield
        finally:
            self._in_flight[key] -= 1

    def record_refused(self, service: str, want: ModelVariant) -> None:
        """Count a request that was turned away because nothing holds it."""
        now = self._clock.monotonic()
        self._refused.append(_Moment(now, (service, want)))

    def measure(self) -> list[Demand]:
        """Return the demand of the last seconds."""
        begun = self._clock.monotonic() - _WINDOW_S
        for times in (self._asked, self._refused):
            while times and times[0].at < begun:
                times.popleft()
        asked = collections.Counter(each.key for each in self._asked)
        refused = collections.Counter(each.key for each in self._refused)
        keys = asked.keys() | {
            key for key, count in self._in_flight.items() if count
        }
        objectives: dict[_Key, float] = {}
        for moment in self._asked:
            known = objectives.get(moment.key, moment.objective_s)
            objectives[moment.key] = min(known, moment.objective_s)
        return [
            Demand(
                *key,
                asked[key],
                self._in_flight[key],
                refused[key],
                objectives.get(key, 0),
            )
            for key in sorted(keys)
        ]
