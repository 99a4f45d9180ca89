"""Define where routing, limits and quarantine join the request path.

Each interface has a default that permits everything, so that the request path
can be tested alone.
"""

import abc
import contextlib
from collections.abc import AsyncIterator, Sequence
from typing import NamedTuple

from cassiarail.core.deadline import Deadline
from cassiarail.routing.snapshot import TargetState


class RequestFacts(NamedTuple):
    """Hold what decisions about a request may depend on.

    ``prefix`` is a digest of model, adapter and first message, for affinity
    with prefix caches. ``model``, ``adapter``, ``fingerprint`` and ``prefix``
    are empty for calls of plain services. ``weight`` is the caller's share
    under fair queueing.
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
    """Describe a finished attempt at a target; times are seconds.

    ``first_byte_s`` is ``None`` if no answer began. ``refused`` tells that
    the target said that it didn't start; ``abandoned`` that the caller left.
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
        """Hold a place for a request, possibly after queueing.

        Entering raises a ``RequestError`` with ``retry_after_s`` to refuse.
        """


class TargetChooser(abc.ABC):
    """Choose targets and learn from the outcome of each attempt."""

    @abc.abstractmethod
    def choose(
        self,
        candidates: Sequence[TargetState],
        facts: RequestFacts,
    ) -> TargetState:
        """Return one of the candidates, of which there is at least one."""

    def on_sent(self, target: TargetState, facts: RequestFacts) -> None:
        """Note that an attempt is being sent."""

    def on_finished(
        self,
        target: TargetState,
        facts: RequestFacts,
        outcome: AttemptOutcome,
    ) -> None:
        """Note the end of an attempt; follows each ``on_sent`` once."""


class GuardedRun(NamedTuple):
    """Identify an attempt at an instance of a target.

    One request makes several attempts, one after the other; requests with
    the same fingerprint may run at the same time.
    """

    fingerprint: str
    request_id: str
    target: str
    instance: str


class CrashGuard(abc.ABC):
    """Keep requests that crash targets away from further targets.

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
        """Return the targets on which a request may run at present."""
        return candidates

    @abc.abstractmethod
    async def on_start(self, run: GuardedRun) -> None:
        """Note that an attempt is about to be sent.

        May wait, or raise ``TargetRefusedError`` to send it to another one.
        """

    @abc.abstractmethod
    async def on_success(self, run: GuardedRun) -> None:
        """Note that the request was answered in full."""

    @abc.abstractmethod
    async def on_crash(self, run: GuardedRun) -> None:
        """Note that the target crashed during the attempt.

        Returns when the suspicion has been announced; no retry or response
        is sent before that.
        """

    async def on_end(self, run: GuardedRun) -> None:
        """Note that the attempt is over, whatever came of it."""


class RetryBudget(abc.ABC):
    """Bound the retries that all requests of a gateway may add."""

    @abc.abstractmethod
    def record_success(self) -> None:
        """Note an answered request, which earns a share of a retry."""

    @abc.abstractmethod
    def try_spend(self) -> bool:
        """Take one retry from the budget, if there is one."""


class UnlimitedAdmission(Admission):
    """Admit every request at once."""

    @contextlib.asynccontextmanager
    async def admit(self, facts: RequestFacts) -> AsyncIterator[None]:
        """Admit the request."""
        yield


class LeastInFlightChooser(TargetChooser):
    """Choose the target with the fewest own requests in flight."""

    def __init__(self) -> None:
        self._in_flight: dict[str, int] = {}

    def choose(
        self,
        candidates: Sequence[TargetState],
        facts: RequestFacts,
    ) -> TargetState:
        """Return the first candidate with the least work of this gateway."""
        return min(
            candidates,
            key=lambda target: self._in_flight.get(target.name, 0),
        )

    def on_sent(self, target: TargetState, facts: RequestFacts) -> None:
        """Count an attempt."""
        self._in_flight[target.name] = self._in_flight.get(target.name, 0) + 1

    def on_finished(
        self,
        target: TargetState,
        facts: RequestFacts,
        outcome: AttemptOutcome,
    ) -> None:
        """Forget an attempt."""
        remaining = self._in_flight[target.name] - 1
        if remaining:
            self._in_flight[target.name] = remaining
        else:
            self._in_flight.pop(target.name)


class NoCrashGuard(CrashGuard):
    """Suspect no request."""

    async def check(self, fingerprint: str) -> None:
        """Accept the request."""

    async def on_start(self, run: GuardedRun) -> None:
        """Ignore the start."""

    async def on_success(self, run: GuardedRun) -> None:
        """Ignore the success."""

    async def on_crash(self, run: GuardedRun) -> None:
        """Ignore the crash."""


class RatioRetryBudget(RetryBudget):
    """Allow retries up to a share of the answered requests.

    A small reserve lets a gateway that has just started retry at all; the
    same number caps what quiet times can save up.
    """

    def __init__(self, share: float = 0.2, reserve: float = 20) -> None:
        self._share = share
        self._reserve = reserve
        self._balance = reserve

    def record_success(self) -> None:
        """Earn a share of a retry."""
        self._balance = min(self._reserve, self._balance + self._share)

    def try_spend(self) -> bool:
        """Take one retry, if a whole one is left."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True
