"""Estimate when each target would send the first token of a request.

The estimate adds the wait for a place, or for token memory, to the time for
reading what the target doesn't hold of the prompt, both on a machine that may
be slower than usual. It is pure: times are passed in, in seconds.

Hosts know the same fast targets and learn late where the others send. So each
request is sent to the better of two targets that are drawn at random.
"""

import collections
import math
import random
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple, TypeVar

from cassiarail.routing.speeds import ServiceSpeeds
from cassiarail.routing.usage import TargetUsage

_MIN_DEVIATION = 0.5
# Targets that are compared for a request.
_DRAWN = 2
# Added for targets in other data centres: traffic between them is priced.
_REMOTE_S = 0.002
# Added where a connection has to be opened: that takes a round trip, and it may
# hold a place at the target for a moment.
_CONNECT_S = 0.02

_Target = TypeVar('_Target')


class RequestSize(NamedTuple):
    """State what a request needs: tokens to read, and to generate."""

    prompt_tokens: int
    output_tokens: int

    @property
    def total(self) -> int:
        """Return the tokens for which the request needs memory."""
        return self.prompt_tokens + self.output_tokens


class Place(NamedTuple):
    """Describe a target that can run a request.

    ``token_capacity`` is its token memory, 0 if unknown, and ``kept_tokens``
    those that it needn't read of this request's prompt. ``is_connected`` shows
    that a connection to it can be reused.
    """

    instance: str
    service: str
    slots: int
    token_capacity: int
    kept_tokens: int = 0
    is_local: bool = True
    is_connected: bool = True


class FirstTokenEstimate(NamedTuple):
    """Hold the expected wait and reading time; their sum is the estimate."""

    wait_s: float
    reading_s: float

    @property
    def seconds(self) -> float:
        """Return the time to the first token."""
        return self.wait_s + self.reading_s


class _TargetWork(TargetUsage):
    """Count the tokens of own requests at a target, too."""

    def __init__(self) -> None:
        super().__init__()
        self.own_tokens = 0

    @property
    def is_idle(self) -> bool:
        """Return whether this host has no request at the target."""
        return not self.own


class FirstTokenEstimator:
    """Know the work at all targets and estimate what one more would meet."""

    def __init__(self, find_slowdown: Callable[[str, float], float]) -> None:
        """Call ``find_slowdown`` with an instance and the time."""
        self._find_slowdown = find_slowdown
        self._works: collections.defaultdict[str, _TargetWork] = (
            collections.defaultdict(_TargetWork)
        )
        self._speeds: collections.defaultdict[str, ServiceSpeeds] = (
            collections.defaultdict(ServiceSpeeds)
        )

    def speeds(self, service: str) -> ServiceSpeeds:
        """Return what is learned of a service."""
        return self._speeds[service]

    def begin(self, service: str, instance: str, size: RequestSize) -> None:
        """Count a request that is sent to a target."""
        self._speeds[service].record_request(size.total)
        work = self._works[instance]
        work.own += 1
        work.own_tokens += size.total

    def end(self, instance: str, size: RequestSize) -> None:
        """Stop counting a request."""
        work = self._works[instance]
        work.own -= 1
        work.own_tokens -= size.total

    def record_report(
        self, service: str, instance: str, total: int, now: float
    ) -> None:
        """Record the requests that a target reports, own ones included."""
        others = self._works[instance].record_report(total, now)
        self._speeds[service].record_others(others)

    def record_shared(
        self, instance: str, total: int, reported_at: float
    ) -> None:
        """Record the requests that a target has reported to another host.

        A later report to this host goes before it.
        """
        work = self._works[instance]
        if reported_at > work.reported_at:
            work.record_report(total, reported_at)

    def retain(self, instances: Iterable[str]) -> None:
        """Forget targets that are neither named nor in use."""
        retained = set(instances)
        for instance in list(self._works):
            if instance not in retained and self._works[instance].is_idle:
                self._works.pop(instance)

    def estimate_free_tokens(self, place: Place, now: float) -> float:
        """Return the token memory that running requests leave."""
        work = self._works[place.instance]
        speeds = self._speeds[place.service]
        others = work.estimate_others(speeds.others, now)
        used = work.own_tokens + others * speeds.request_tokens
        return max(0, place.token_capacity - used)

    def choose(
        self, places: Iterable[Place], size: RequestSize, now: float
    ) -> Place | None:
        """Return the place with the earliest expected first token."""
        return min(
            places,
            key=lambda place: (
                self.estimate(place, size, now).seconds
                + _REMOTE_S * (not place.is_local)
                + _CONNECT_S * (not place.is_connected)
            ),
            default=None,
        )

    def estimate(
        self, place: Place, size: RequestSize, now: float
    ) -> FirstTokenEstimate:
        """Return when a target would send the first token of a request."""
        speeds = self._speeds[place.service]
        work = self._works[place.instance]
        slowdown = self._find_slowdown(place.instance, now)
        others = work.estimate_others(speeds.others, now)
        unread = max(0, size.prompt_tokens - place.kept_tokens)
        wait_s = speeds.service_s * max(
            _expect_excess(work.own + 1 - place.slots, others) / place.slots,
            self._estimate_token_wait(place, size, others),
        )
        return FirstTokenEstimate(
            slowdown * wait_s, slowdown * speeds.estimate_reading(unread)
        )

    def _estimate_token_wait(
        self, place: Place, size: RequestSize, others: float
    ) -> float:
        """Return the wait for token memory, as a share of a service time.

        In one service time, the running requests give back what they use.
        """
        if not place.token_capacity:
            return 0
        usual_tokens = self._speeds[place.service].request_tokens
        own_tokens = self._works[place.instance].own_tokens
        used = own_tokens + others * usual_tokens
        if not used:
            return 0
        missing = own_tokens + size.total - place.token_capacity
        excess = _expect_excess(missing / usual_tokens, others)
        return excess * usual_tokens / used


def draw_candidates(
    generator: random.Random,
    targets: Sequence[_Target],
    connected: Sequence[_Target] = (),
) -> list[_Target]:
    """Return the targets to compare for one request, in random order.

    One of them is drawn from those that are ``connected``, if there are any.
    """
    drawn = generator.sample(targets, min(_DRAWN, len(targets)))
    if connected and len(drawn) == _DRAWN:
        other = generator.choice(connected)
        if other not in drawn:
            drawn[-1] = other
    return drawn


def _expect_excess(base: float, others: float) -> float:
    """Return the expected excess of ``base`` plus others over zero.

    The number of others varies as that of independent arrivals does.
    """
    deviation = max(_MIN_DEVIATION, math.sqrt(others))
    distance = (base + others) / deviation
    density = math.exp(-distance * distance / 2) / math.sqrt(2 * math.pi)
    chance = (1 + math.erf(distance / math.sqrt(2))) / 2
    return deviation * (density + distance * chance)
