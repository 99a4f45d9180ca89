"""Retry a request on targets until one gives a complete response."""

import contextlib
import random
from collections.abc import Callable, Iterator, Sequence
from typing import NamedTuple

from opentelemetry.context import Context

from cassiarail.core.backoff import Backoff
from cassiarail.core.clock import Clock
from cassiarail.core.events import emit_event
from cassiarail.core.exceptions import (
    CassiarailError,
    RequestError,
    TargetError,
    TargetRefusedError,
)
from cassiarail.core.verdict import Verdict, combine_verdicts
from cassiarail.gateway.events import RETRY_REFUSED
from cassiarail.gateway.exceptions import AttemptsFailedError, NoTargetError
from cassiarail.gateway.hooks import (
    AttemptOutcome,
    CrashGuard,
    RequestFacts,
    RetryBudget,
    TargetChooser,
)
from cassiarail.gateway.metrics import GatewayMetrics
from cassiarail.gateway.tracing import HopTracer, write_headers
from cassiarail.routing.snapshot import RoutingSnapshot, TargetState
from cassiarail.targets.backends.base import Hop

SnapshotSource = Callable[[], RoutingSnapshot]
# A request fails after this many attempts without progress.
MAX_ATTEMPTS = 6
_RETRY_AFTER_S = 1
_RETRY_BASE_S = 0.02
_RETRY_CAP_S = 1
# A known instance that is leaving never accepts work again, so its TTL only
# bounds memory. Without an instance id, its successor can't be distinguished.
_KNOWN_INSTANCE_TTL_S = 600
_UNKNOWN_INSTANCE_TTL_S = 5
_LEAVING = 'leaving'


class AttemptDependencies(NamedTuple):
    """Hold the objects that all attempts of a gateway share."""

    snapshot: SnapshotSource
    chooser: TargetChooser
    guard: CrashGuard
    budget: RetryBudget
    clock: Clock
    generator: random.Random
    metrics: GatewayMetrics
    tracer: HopTracer
    connect_timeout_s: float = 1
    backoff: Backoff = Backoff(base_s=_RETRY_BASE_S, cap_s=_RETRY_CAP_S)


class LeavingTargets:
    """Remember targets that refused a request because they are leaving.

    The snapshot lags by up to one poll interval of the controller. No new
    work is sent to such an instance until the snapshot reports it too.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._expires_at: dict[tuple[str, str], float] = {}

    def add(self, target: TargetState) -> None:
        """Add an instance that is leaving."""
        now = self._clock.monotonic()
        self._expires_at = {
            key: expires_at
            for key, expires_at in self._expires_at.items()
            if expires_at > now
        }
        ttl_s = (
            _KNOWN_INSTANCE_TTL_S
            if target.instance
            else _UNKNOWN_INSTANCE_TTL_S
        )
        self._expires_at[target.name, target.instance] = now + ttl_s

    def contains(self, target: TargetState) -> bool:
        """Return whether an instance recently reported that it is leaving."""
        expires_at = self._expires_at.get((target.name, target.instance))
        return expires_at is not None and expires_at > self._clock.monotonic()


class VerdictHistory:
    """Combine the verdicts of the attempts of one request."""

    def __init__(self) -> None:
        self._verdicts: list[Verdict] = []

    @contextlib.contextmanager
    def attempt(self) -> Iterator[None]:
        """Record an attempt; it may have run unless its error says otherwise.

        The verdict is recorded before the attempt starts, so that it is also
        correct if the attempt is cancelled.
        """
        position = len(self._verdicts)
        self._verdicts.append(Verdict.MAY_HAVE_RUN)
        try:
            yield
        except (RequestError, TargetError) as error:
            self._verdicts[position] = error.verdict
            raise
        self._verdicts[position] = Verdict.RAN

    def combined(self) -> Verdict:
        """Return the strongest verdict of the attempts so far."""
        return combine_verdicts(self._verdicts)

    def combined_with(self, error: CassiarailError) -> Verdict:
        """Return the strongest verdict of the attempts and an error."""
        return combine_verdicts((*self._verdicts, error.verdict))


class AttemptPlan:
    """Choose the targets of one request and delay its retries."""

    def __init__(
        self,
        dependencies: AttemptDependencies,
        facts: RequestFacts,
        leaving: LeavingTargets,
    ) -> None:
        self.dependencies = dependencies
        self.facts = facts
        self.verdicts = VerdictHistory()
        self._leaving = leaving
        self._failed: set[str] = set()
        self._attempts = 0
        self._last_error: CassiarailError | None = None

    async def next_target(
        self,
        candidates: Sequence[TargetState],
    ) -> TargetState:
        """Return the target of the next attempt; delay it if it is a retry.

        Raises ``NoTargetError`` or ``AttemptsFailedError``.
        """
        if self._attempts:
            await self._wait_before_retry()
        self._attempts += 1
        usable = [
            target
            for target in candidates
            if not target.leaving and not self._leaving.contains(target)
        ]
        if not usable:
            raise NoTargetError(
                'no live target can accept the request',
                verdict=self.verdicts.combined(),
                retry_after_s=_RETRY_AFTER_S,
            )
        untried = [
            target for target in usable if target.name not in self._failed
        ]
        if not untried:
            self._failed.clear()
        return self.dependencies.chooser.choose(untried or usable, self.facts)

    def record_failure(self, target: TargetState, error: TargetError) -> None:
        """Record a failed attempt and its error."""
        self._failed.add(target.name)
        self._last_error = error
        refused = isinstance(error, TargetRefusedError)
        if refused and getattr(error, 'reason', '') == _LEAVING:
            self._leaving.add(target)

    def record_progress(self) -> None:
        """Reset the attempt count of a request that receives tokens."""
        self._attempts = min(self._attempts, 1)

    def build_hop(self, context: Context, idle_s: float) -> Hop:
        """Return the hop parameters of the next attempt."""
        return Hop(
            request_id=self.facts.request_id,
            deadline=self.facts.deadline,
            connect_s=self.dependencies.connect_timeout_s,
            idle_s=idle_s,
            headers=write_headers(context),
        )

    async def _wait_before_retry(self) -> None:
        if self._attempts >= MAX_ATTEMPTS:
            raise self.build_failure('every attempt failed')
        if not self.dependencies.budget.try_spend():
            emit_event(RETRY_REFUSED, request=self.facts.request_id)
            raise self.build_failure('the retry budget is exhausted')
        delay = self.dependencies.backoff.delay(
            self._attempts - 1,
            self.dependencies.generator,
        )
        await self.dependencies.clock.sleep(delay)

    def build_failure(self, reason: str) -> AttemptsFailedError:
        """Return the error of a request that no further target may run."""
        return AttemptsFailedError(
            f'{reason}; last error: {self._last_error}',
            verdict=self.verdicts.combined(),
            retry_after_s=_RETRY_AFTER_S,
        )


class AttemptTimer:
    """Time one attempt and report its outcome exactly once."""

    def __init__(
        self,
        dependencies: AttemptDependencies,
        target: TargetState,
        facts: RequestFacts,
    ) -> None:
        self._dependencies = dependencies
        self._target = target
        self._facts = facts
        self._started_at = dependencies.clock.monotonic()
        self._first_byte_s: float | None = None
        dependencies.chooser.on_sent(target, facts)

    def record_first_byte(self) -> None:
        """Record the time of the first byte of the response."""
        if self._first_byte_s is None:
            self._first_byte_s = self._elapsed()

    @contextlib.contextmanager
    def measure(self) -> Iterator[None]:
        """Report the outcome of the block."""
        outcome = 'abandoned'
        try:
            yield
        except CassiarailError as error:
            outcome = error.code
            raise
        else:
            outcome = 'answered'
        finally:
            self._report(outcome)

    def _report(self, outcome: str) -> None:
        self._dependencies.metrics.attempts.labels(
            self._facts.service,
            outcome,
        ).inc()
        self._dependencies.chooser.on_finished(
            self._target,
            self._facts,
            AttemptOutcome(
                succeeded=outcome == 'answered',
                elapsed_s=self._elapsed(),
                first_byte_s=self._first_byte_s,
                refused=outcome == TargetRefusedError.code,
                abandoned=outcome == 'abandoned',
            ),
        )

    def _elapsed(self) -> float:
        return self._dependencies.clock.monotonic() - self._started_at
