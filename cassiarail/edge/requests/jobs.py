"""Track one request from its arrival to its response."""

import asyncio
import enum
import hashlib
import itertools
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from cassiarail.core.verdict import Verdict, combine_verdicts
from cassiarail.edge.dialect import CallerRequest
from cassiarail.edge.registry.configuration import Configuration, Route, Service
from cassiarail.edge.registry.targets import ModelVariant, Target
from cassiarail.edge.requests.event_stream import EventSplitter
from cassiarail.edge.requests.evidence import AttemptEvidence, ReceivedHead
from cassiarail.edge.requests.timeline import Timeline
from cassiarail.http1.exchanges import Exchange, ResponseProgress
from cassiarail.http1.messages import Headers
from cassiarail.limits.byte_budget import ByteReservation
from cassiarail.security.accounts import ClientAccount

TrySwitch = Callable[[asyncio.Future[Any]], Awaitable[bool]]
_DIGEST_BYTES = 12
# Prompts of the known deployments have up to five parts, whose identifiers have
# up to 12 digits. More would let one caller displace what is known of others.
_MAX_SHARED_PARTS = 32
_MAX_PART_LENGTH = 64


class Outcome(enum.Enum):
    """Name how an attempt ended."""

    SUCCEEDED = 'answered'
    FAILED = 'failed'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'
    BROKEN = 'broken'


class BufferedResponse(NamedTuple):
    """Hold a response that was read completely."""

    status: int
    headers: Headers
    body: bytes


class AttemptResult(NamedTuple):
    """Hold how an attempt ended and a target's error response, if any.

    ``evidence`` is ``None`` after a success, and if nothing was sent.
    ``may_go_on`` shows that the host closed the connection before the target
    had ended, and ``is_stalled`` that it did so for another target.
    """

    outcome: Outcome
    reason: str
    response: BufferedResponse | None = None
    evidence: AttemptEvidence | None = None
    may_go_on: bool = False
    is_stalled: bool = False

    @property
    def verdict(self) -> Verdict:
        """Return whether the request ran or may have run."""
        return _VERDICTS[self.outcome]


_VERDICTS = {  # noqa: WPS407 - read only
    Outcome.SUCCEEDED: Verdict.RAN,
    Outcome.FAILED: Verdict.RAN,
    Outcome.NOT_RUN: Verdict.NOT_RUN,
    Outcome.UNKNOWN: Verdict.MAY_HAVE_RUN,
    Outcome.BROKEN: Verdict.MAY_HAVE_RUN,
}


async def _never_switch(_reading: asyncio.Future[Any]) -> bool:
    return False


class Transmission:
    """Hold when a request was sent to a target, and what came back.

    ``active_at`` is when it was sent or the target's newest bytes came.
    ``began_at`` is when the first piece of a stream came. ``is_given_up`` shows
    that the target stalled and another one is used.
    """

    def __init__(self, sent_at: float) -> None:
        self.sent_at = sent_at
        self.active_at = sent_at
        self.began_at: float | None = None
        self.is_given_up = False
        self.answer_began_at: float | None = None
        self.received_head: ReceivedHead | None = None


class Job:
    """Hold the state of one request while it is handled.

    Times are those of the event loop, in seconds. ``try_switch`` returns
    whether another target will run the request if the current one stalls, and
    spends a retry on it.
    ``newest`` is the newest transmission of the request to a target. Targets
    are given the time until ``deadline``, which is at most ``times_out_at``,
    when the timeout of the caller or the route passes.
    """

    def __init__(
        self,
        exchange: Exchange,
        request: CallerRequest,
        configuration: Configuration,
        route: Route,
        account: ClientAccount | None = None,
    ) -> None:
        self.exchange = exchange
        self.request = request
        self.configuration_version = configuration.version
        self.route = route
        self._account = account
        self._has_accounts = bool(configuration.accounts)
        service_name = route.pick_service(request.request_id)
        self.service: Service = configuration.services.get(
            service_name,
            Service(service_name, 0, None),
        )
        self.times_out_at = exchange.received_at + _compute_timeout_s(
            request, route
        )
        self.deadline = self.times_out_at
        self.splitter = EventSplitter() if route.can_resume else None
        self.tried_targets: list[Target] = []
        self.attempts: list[AttemptResult] = []
        # That of an attempt that isn't recorded yet.
        self._open_verdict = Verdict.NOT_RUN
        self.try_switch: TrySwitch = _never_switch
        self.reservations: list[ByteReservation] = []
        self.newest = Transmission(0)
        self.timeline = Timeline(exchange.received_at)
        self._shared_parts = _find_shared_parts(request.prefix_parts)

    @property
    def known_variant(self) -> ModelVariant | None:
        """Return what the request needs, if the configuration has it.

        Callers may state any name, and each would be kept for some time.
        """
        variant, engine = self.request.variant, self.service.engine
        if variant is None or engine is None:
            return None
        exists = engine.has_variant(variant.model, variant.adapter)
        return variant if exists else None

    @property
    def rank(self) -> int:
        """Return the priority, 0 first; that of the account has precedence."""
        if self._account is None or self._account.rank is None:
            return self.route.rank
        return self._account.rank

    @property
    def account(self) -> ClientAccount | None:
        """Return the client account whose request it is, if any."""
        return self._account

    @property
    def account_name(self) -> str | None:
        """Return the name to state to targets.

        It is empty for a request without account, and ``None`` if the
        configuration has no accounts at all.
        """
        if self._account is not None:
            return self._account.name
        return '' if self._has_accounts else None

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Return the parts of the prompt that other requests may share."""
        return self._shared_parts

    @property
    def response_started(self) -> bool:
        """Return whether the caller was sent the head of a response."""
        return self.exchange.progress is not ResponseProgress.NOT_BEGUN

    @property
    def verdict(self) -> Verdict:
        """Return whether the request may have run so far."""
        recorded = (each.verdict for each in self.attempts)
        return combine_verdicts((self._open_verdict, *recorded))

    @property
    def possible_runs(self) -> int:
        """Return the number of attempts that may have run."""
        return sum(
            each.outcome is not Outcome.NOT_RUN for each in self.attempts
        )

    @property
    def caller_timeout_s(self) -> float:
        """Return how long a caller waits for the first event of a stream."""
        route = self.route
        return max(
            _MIN_GAP_S,
            _OBJECTIVE_FACTOR * route.objective_s,
            _PAUSE_FACTOR * route.pause_s,
        )

    @property
    def is_shortened(self) -> bool:
        """Return whether a stop ends before the request times out."""
        return self.deadline < self.times_out_at

    @property
    def caller_leaves_at(self) -> float:
        """Return when the caller gives up a stream that remains silent."""
        return self.newest.active_at + self.caller_timeout_s

    def begin_attempt(self) -> None:
        """Count the request as possibly running, before any byte is sent."""
        self._open_verdict = Verdict.MAY_HAVE_RUN

    def confirm_not_run(self) -> None:
        """Record that the target has stated that nothing ran."""
        self._open_verdict = Verdict.NOT_RUN

    def record_attempt(self, attempt_result: AttemptResult) -> None:
        """Store how an attempt ended; its own verdict counts from now on."""
        self.attempts.append(attempt_result)
        self._open_verdict = Verdict.NOT_RUN

    def release_memory(self) -> None:
        """Give back the memory of the responses that targets sent."""
        for reservation in self.reservations:
            reservation.release()

    def fingerprint(self) -> str:
        """Return a digest that is equal for equal requests."""
        head = self.exchange.head
        digest = hashlib.blake2b(head.target, digest_size=_DIGEST_BYTES)
        digest.update(self.request.host.encode())
        digest.update(self.exchange.body)
        return digest.hexdigest()


# Callers abort a stream after the longest of these gaps, as the platform's
# documentation of stream routes specifies.
_MIN_GAP_S = 2.0
_OBJECTIVE_FACTOR = 4
_PAUSE_FACTOR = 8


def _compute_timeout_s(request: CallerRequest, route: Route) -> float:
    if request.client_timeout_s is None:
        return route.timeout_s
    return min(request.client_timeout_s, route.timeout_s)


def _find_shared_parts(parts: tuple[str, ...]) -> tuple[str, ...]:
    """Return all parts but the last, which belongs to one request."""
    last = min(len(parts) - 1, _MAX_SHARED_PARTS)
    return tuple(
        part
        for part in itertools.islice(parts, max(0, last))
        if len(part) <= _MAX_PART_LENGTH
    )
