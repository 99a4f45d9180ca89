"""Define the request path's interfaces to routing, limits and quarantine.

Each interface has a default that permits everything, so that the request path
can be tested on its own.
"""

import abc
import contextlib
from collections.abc import AsyncIterator, Sequence
from typing import NamedTuple

from cassiarail.core.deadline import Deadline
from cassiarail.routing.snapshot import TargetState


class RequestFacts(NamedTuple):
    """Hold the attributes of a request that policies use.

    ``prefix`` is a digest of model, adapter and first message, for affinity
    with prefix caches. ``model``, ``adapter``, ``fingerprint`` and ``prefix``
    are empty for calls of plain services. ``weight`` is the caller's weight
    in fair queueing.
    """

    request_id: str
    caller: str
    service: str
    deadline: Deadline
    model: str = ''
    adapter: str = ''
    prefix: str = ''
    fingerprint: str = ''
    priority: int = 0
    weight: int = 1


class AttemptOutcome(NamedTuple):
    """Describe a finished attempt at a target; times are in seconds.

    ``first_byte_s`` is ``None`` if no response started. ``refused`` means that
    the target reported that it did not start the request; ``abandoned`` that
    the attempt was cancelled.
    """

    succeeded: bool
    elapsed_s: float
    first_byte_s: float | None = None
    refused: bool = False
    abandoned: bool = False


class Admission(abc.ABC):
    """Decide whether and when a request may proceed."""

    @abc.abstractmethod
    def admit(
        self, facts: RequestFacts
    ) -> contextlib.AbstractAsyncContextManager[None]:
        """Hold a slot for a request, possibly after queueing.

        Entering raises a ``RequestError`` with ``retry_after_s`` to refuse.
        """


class TargetChooser(abc.ABC):
    """Choose targets and record the outcome of each attempt."""

    @abc.abstractmethod
    def choose(
        self,
        candidates: Sequence[TargetState],
        facts: RequestFacts,
    ) -> TargetState:
        """Return one of the candidates, a non-empty sequence."""

    def on_sent(self, target: TargetState, facts: RequestFacts) -> None:
        """Record that an attempt is being sent."""

    def on_finished(
        self,
        target: TargetState,
        facts: RequestFacts,
        outcome: AttemptOutcome,
    ) -> None:
        """Record the end of an attempt, once after each ``on_sent``."""


class GuardedRun(NamedTuple):
    """Identify an attempt at an instance of a target.

    The attempts of one request are sequential; requests with the same
    fingerprint may run concurrently.
    """

    fingerprint: str
    request_id: str
    target: str
    instance: str


class CrashGuard(abc.ABC):
    """Prevent requests that crash targets from reaching others.

    Each ``on_start`` that returns is followed by ``on_success`` or
    ``on_crash`` or neither, and then always by ``on_end``.
    """

    @abc.abstractmethod
    async def check(self, fingerprint: str) -> None:
        """Raise a ``RequestError`` if the fingerprint is quarantined."""

    def list_usable(
        self,
        fingerprint: str,
        candidates: Sequence[TargetState],
    ) -> Sequence[TargetState]:
        """Return the targets on which a request may run now."""
        return candidates

    @abc.abstractmethod
    async def on_start(self, run: GuardedRun) -> None:
        """Record that an attempt is about to be sent.

        May wait, or raise ``TargetRefusedError`` to select another target.
        """

    @abc.abstractmethod
    async def on_success(self, run: GuardedRun) -> None:
        """Record that the response was complete."""

    @abc.abstractmethod
    async def on_crash(self, run: GuardedRun) -> None:
        """Record that the target crashed during the attempt.

        Returns when the suspicion has been announced; no retry or response
        is sent before that.
        """

    async def on_end(self, run: GuardedRun) -> None:
        """Record the end of the attempt, whatever its outcome."""


class RetryBudget(abc.ABC):
    """Limit the retries of all requests of a gateway."""

    @abc.abstractmethod
    def record_success(self) -> None:
        """Record a success, which adds a fraction of a retry."""

    @abc.abstractmethod
    def try_spend(self) -> bool:
        """Spend one retry; return whether the budget had one."""


class UnlimitedAdmission(Admission):
    """Admit every request immediately."""

    @contextlib.asynccontextmanager
    async def admit(self, facts: RequestFacts) -> AsyncIterator[None]:
        """Admit the request."""
        yield


class LeastInFlightChooser(TargetChooser):
    """Choose the target with the fewest requests of this gateway."""

    def __init__(self) -> None:
        self._in_flight: dict[str, int] = {}

    def choose(
        self,
        candidates: Sequence[TargetState],
        facts: RequestFacts,
    ) -> TargetState:
        """Return the first candidate with the fewest requests in flight."""
        return min(
            candidates,
            key=lambda target: self._in_flight.get(target.name, 0),
        )

    def on_sent(self, target: TargetState, facts: RequestFacts) -> None:
        """Increment the requests in flight."""
        self._in_flight[target.name] = self._in_flight.get(target.name, 0) + 1

    def on_finished(
        self,
        target: TargetState,
        facts: RequestFacts,
        outcome: AttemptOutcome,
    ) -> None:
        """Decrement the requests in flight."""
        remaining = self._in_flight[target.name] - 1
        if remaining:
            self._in_flight[target.name] = remaining
        else:
            self._in_flight.pop(target.name)


class NoCrashGuard(CrashGuard):
    """Accept every request and track no crashes."""

    async def check(self, fingerprint: str) -> None:
        """Accept the request."""

    async def on_start(self, run: GuardedRun) -> None:
        """Ignore the start."""

    async def on_success(self, run: GuardedRun) -> None:
        """Ignore the success."""

    async def on_crash(self, run: GuardedRun) -> None:
        """Ignore the crash."""


class RatioRetryBudget(RetryBudget):
    """Allow retries up to a share of the successful requests.

    The initial reserve permits retries right after the start. It is also the
    maximum balance, so that idle periods accumulate no more.
    """

    def __init__(self, share: float = 0.2, reserve: float = 20) -> None:
        self._share = share
        self._reserve = reserve
        self._balance = reserve

    def record_success(self) -> None:
        """Add a fraction of a retry to the balance."""
        self._balance = min(self._reserve, self._balance + self._share)

    def try_spend(self) -> bool:
        """Spend one retry; return whether the balance had a whole one."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True
