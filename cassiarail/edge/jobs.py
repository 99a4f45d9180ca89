"""Follow one request from its arrival to its answer."""

import enum
import hashlib
from collections.abc import Callable
from typing import NamedTuple

from cassiarail.core.verdict import Verdict, combine_verdicts
from cassiarail.edge.configuration import Configuration, Route, Service
from cassiarail.edge.dialect import CallerRequest
from cassiarail.edge.event_stream import EventSplitter
from cassiarail.edge.targets import Target
from cassiarail.http1.exchanges import Exchange
from cassiarail.http1.messages import Headers

_DIGEST_BYTES = 12


class Outcome(enum.Enum):
    """Tell how an attempt ended."""

    ANSWERED = 'answered'
    FAILED = 'failed'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'
    BROKEN = 'broken'


class WholeAnswer(NamedTuple):
    """Hold a target's answer that was read whole."""

    status: int
    headers: Headers
    body: bytes


class AttemptResult(NamedTuple):
    """Hold the end of one attempt; ``answer`` is a target's failure."""

    outcome: Outcome
    reason: str
    answer: WholeAnswer | None = None

    @property
    def verdict(self) -> Verdict:
        """Tell whether the attempt may have run."""
        return _VERDICTS[self.outcome]


_VERDICTS = {  # noqa: WPS407 - read only
    Outcome.ANSWERED: Verdict.RAN,
    Outcome.FAILED: Verdict.RAN,
    Outcome.NOT_RUN: Verdict.NOT_RUN,
    Outcome.UNKNOWN: Verdict.MAY_HAVE_RUN,
    Outcome.BROKEN: Verdict.MAY_HAVE_RUN,
}


def _never() -> bool:
    return False


class Job:
    """Hold what is known of one request while it is handled.

    Times are those of the event loop, in seconds. ``may_switch`` tells
    whether another target could take a request over that stands still.
    """

    def __init__(
        self,
        exchange: Exchange,
        request: CallerRequest,
        configuration: Configuration,
        route: Route,
    ) -> None:
        self.exchange = exchange
        self.request = request
        self.configuration_version = configuration.version
        self.route = route
        service_name = route.pick_service(request.request_id)
        self.service: Service = configuration.services.get(
            service_name,
            Service(service_name, 0, None),
        )
        self.deadline = exchange.received_at + _time_allowed(request, route)
        self.splitter = EventSplitter() if route.can_resume else None
        self.has_begun = False
        self.tried: list[Target] = []
        self.attempts: list[AttemptResult] = []
        self.in_flight = False
        self.may_switch: Callable[[], bool] = _never

    @property
    def verdict(self) -> Verdict:
        """Tell whether the request may have run so far."""
        if self.in_flight:
            return Verdict.MAY_HAVE_RUN
        return combine_verdicts(each.verdict for each in self.attempts)

    @property
    def runs(self) -> int:
        """Return the attempts that may have run."""
        return sum(
            each.outcome is not Outcome.NOT_RUN for each in self.attempts
        )

    @property
    def patience_s(self) -> float:
        """Return how long a caller waits for the first event of a stream."""
        route = self.route
        return max(
            _SHORTEST_GAP_S,
            _OBJECTIVES * route.objective_s,
            _PAUSES * route.pause_s,
        )

    def fingerprint(self) -> str:
        """Return a digest that is equal for equal requests."""
        head = self.exchange.head
        digest = hashlib.blake2b(head.target, digest_size=_DIGEST_BYTES)
        digest.update(self.request.host.encode())
        digest.update(self.exchange.body)
        return digest.hexdigest()


# Callers give a stream up after the longest of these gaps (the platform's
# pages on stream routes).
_SHORTEST_GAP_S = 2.0
_OBJECTIVES = 4
_PAUSES = 8


def _time_allowed(request: CallerRequest, route: Route) -> float:
    if request.client_timeout_s is None:
        return route.timeout_s
    return min(request.client_timeout_s, route.timeout_s)
