"""Simulate the weight store (docs/design.md, section 4.5)."""

from typing import NamedTuple

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route, Router

from cassiarail.core.clock import Clock
from cassiarail.standins import responses
from cassiarail.standins.faults import ActiveFaults, FaultName


class WeightLimits(NamedTuple):
    """Hold the limits of the weight store.

    A token bucket allows ``loads_per_second`` with a burst of ``burst``. Up to
    ``full_speed_max`` concurrent loads take ``load_s`` seconds each; more loads
    share the bandwidth.
    """

    loads_per_second: float = 2
    full_speed_max: int = 7
    load_s: float = 1.5
    burst: float = 2


class WeightStore:
    """Serve weights with a rate limit and shared bandwidth."""

    def __init__(
        self,
        limits: WeightLimits,
        clock: Clock,
        faults: ActiveFaults,
    ) -> None:
        self._limits = limits
        self._clock = clock
        self._faults = faults
        self._tokens = limits.burst
        self._refilled_at = float(0)
        self.in_flight = 0
        self.in_flight_max = 0
        self.loads = 0
        self.refused = 0
        self.application = Router(
            routes=[Route('/weights/{model}/{version}', self._load)],
        )

    async def _load(self, request: Request) -> Response:
        if not self._acquire_token():
            self.refused += 1
            return responses.build_json_response(
                {'error': {'code': 'rate_limited'}},
                responses.STATUS_TOO_MANY,
                {'Retry-After': '1'},
            )
        self.loads += 1
        self.in_flight += 1
        self.in_flight_max = max(self.in_flight_max, self.in_flight)
        try:
            await self._clock.sleep(self._compute_load_s())
        finally:
            self.in_flight -= 1
        return responses.build_json_response(request.path_params)

    def _compute_load_s(self) -> float:
        slowdown = max(1, self.in_flight / self._limits.full_speed_max)
        delay_s = self._faults.get_delay_s(FaultName.SLOW_WEIGHTS)
        return self._limits.load_s * slowdown + delay_s

    def _acquire_token(self) -> bool:
        now = self._clock.monotonic()
        refill = (now - self._refilled_at) * self._limits.loads_per_second
        self._tokens = min(self._limits.burst, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
