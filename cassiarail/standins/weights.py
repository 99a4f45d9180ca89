"""Stand in for the weight store (docs/design.md, section 4.5)."""

from typing import NamedTuple

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route, Router

from cassiarail.core.clock import Clock
from cassiarail.standins import answers
from cassiarail.standins.faults import FaultName, Faults


class WeightLimits(NamedTuple):
    """Hold the limits of the weight store.

    ``loads_per_second`` are allowed, with a burst of ``burst``; at most
    ``at_once`` run at full speed, which takes ``load_s`` seconds each.
    """

    loads_per_second: float = 2
    at_once: int = 7
    load_s: float = 1.5
    burst: float = 2


class WeightStore:
    """Serve weights at a limited rate and shared bandwidth."""

    def __init__(
        self,
        limits: WeightLimits,
        clock: Clock,
        faults: Faults,
    ) -> None:
        self._limits = limits
        self._clock = clock
        self._faults = faults
        self._credit = limits.burst
        self._credited_at = float(0)
        self.in_flight = 0
        self.in_flight_max = 0
        self.loads = 0
        self.refused = 0
        self.application = Router(
            routes=[Route('/weights/{model}/{version}', self._load)],
        )

    async def _load(self, request: Request) -> Response:
        if not self._take_credit():
            self.refused += 1
            return answers.answer_json(
                {'error': {'code': 'rate_limited'}},
                answers.STATUS_TOO_MANY,
                {'Retry-After': '1'},
            )
        self.loads += 1
        self.in_flight += 1
        self.in_flight_max = max(self.in_flight_max, self.in_flight)
        try:
            await self._clock.sleep(self._load_seconds())
        finally:
            self.in_flight -= 1
        return answers.answer_json(request.path_params)

    def _load_seconds(self) -> float:
        share = max(1, self.in_flight / self._limits.at_once)
        delay_s = self._faults.delay_of(FaultName.SLOW_WEIGHTS)
        return self._limits.load_s * share + delay_s

    def _take_credit(self) -> bool:
        now = self._clock.monotonic()
        earned = (now - self._credited_at) * self._limits.loads_per_second
        self._credit = min(self._limits.burst, self._credit + earned)
        self._credited_at = now
        if self._credit < 1:
            return False
        self._credit -= 1
        return True
