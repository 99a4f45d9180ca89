"""Implement the request hooks with routing, limits and quarantine."""

import contextlib
import functools
from collections.abc import AsyncIterator, Callable, Sequence
from typing import NamedTuple

from cassiarail.core.clock import Clock
from cassiarail.core.exceptions import CassiarailError, TargetRefusedError
from cassiarail.gateway.admission_queue import AdmissionQueue
from cassiarail.gateway.hooks import (
    Admission,
    AttemptOutcome,
    CrashGuard,
    GuardedRun,
    RequestFacts,
    TargetChooser,
)
from cassiarail.gateway.quarantine import Quarantine, Run
from cassiarail.limits.suspicion import SuspectBusyError
from cassiarail.routing.backends.base import RequestNeed, RoutingPolicy
from cassiarail.routing.snapshot import TargetState
from cassiarail.routing.table import RoutingTable

_RunContext = contextlib.AbstractAsyncContextManager[Run]
FindInstance = Callable[[str], str]


class _WatchedAttempt(NamedTuple):
    context: _RunContext
    attempt: Run
    succeeded: bool = False


class DemandMeter:
    """Average the concurrent requests of each model between two readings.

    Queued requests count, because placement follows demand and not the
    throughput of the current replicas.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._counts: dict[str, int] = {}
        self._totals: dict[str, float] = {}
        self._updated_at: dict[str, float] = {}

    def adjust(self, model: str, difference: int) -> None:
        """Add a change to the number of concurrent requests of a model."""
        self._integrate(model)
        self._counts[model] = self._counts.get(model, 0) + difference

    def read(self, interval_s: float) -> dict[str, float]:
        """Return the means over an interval that ends now, and reset them."""
        for model in self._counts:
            self._integrate(model)
        means = {
            model: total / interval_s for model, total in self._totals.items()
        }
        self._totals = dict.fromkeys(self._counts, float(0))
        return means

    def _integrate(self, model: str) -> None:
        now = self._clock.monotonic()
        updated_at = self._updated_at.get(model, now)
        request_seconds = (now - updated_at) * self._counts.get(model, 0)
        self._totals[model] = self._totals.get(model, 0) + request_seconds
        self._updated_at[model] = now


class RoutedAdmission(Admission, TargetChooser):
    """Admit requests to targets with a free slot and choose among them.

    Admission selects the target of the first attempt together with its slot;
    later attempts use the target that the policy chooses at that time.
    """

    def __init__(
        self,
        table: RoutingTable,
        policy: RoutingPolicy,
        admission_queue: AdmissionQueue,
        meter: DemandMeter,
        data_centre: str,
    ) -> None:
        self._data_centre = data_centre
        self._table = table
        self._policy = policy
        self._admission_queue = admission_queue
        self._meter = meter
        self._granted: dict[str, str] = {}

    @contextlib.asynccontextmanager
    async def admit(self, facts: RequestFacts) -> AsyncIterator[None]:
        """Hold a slot at a target while the request runs."""
        candidates = self._prefer_local(
            self._table.find_candidates(_build_need(facts)),
        )
        if not candidates:
            # The request path reports that no target can accept it.
            yield
            return
        states = {state.name: state for state in candidates}
        if facts.model:
            self._meter.adjust(facts.model, 1)
        try:
            async with self._admission_queue.admit(
                facts.caller,
                facts.priority,
                facts.deadline,
                tuple(states),
                _FreeTargetChoice(self._policy, self._table, facts, states),
                self._policy.list_preferred(_build_need(facts), candidates),
            ) as permit:
                self._granted[facts.request_id] = permit.target
                yield
        finally:
            self._granted.pop(facts.request_id, None)
            if facts.model:
                self._meter.adjust(facts.model, -1)

    def choose(
        self,
        candidates: Sequence[TargetState],
        facts: RequestFacts,
    ) -> TargetState:
        """Return the admitted target once, then the choice of the policy."""
        granted = self._granted.pop(facts.request_id, '')
        for state in candidates:
            if state.name == granted:
                return state
        usable = [
            state
            for state in candidates
            if not self._table.outliers.is_ejected(state.name)
        ]
        return self._policy.choose(
            _build_need(facts),
            self._prefer_local(usable or candidates),
            self._table,
        )

    def _prefer_local(
        self,
        candidates: Sequence[TargetState],
    ) -> Sequence[TargetState]:
        """Return the targets of the local data centre, if there are any.

        State of other data centres is older, and a partition may separate
        them from this one.
        """
        local = [
            state
            for state in candidates
            if state.data_centre == self._data_centre
        ]
        return local or candidates

    def on_sent(self, target: TargetState, facts: RequestFacts) -> None:
        """Count the attempt in flight."""
        self._table.start(target.name)

    def on_finished(
        self,
        target: TargetState,
        facts: RequestFacts,
        outcome: AttemptOutcome,
    ) -> None:
        """Record the latency and the health of a target."""
        name = target.name
        self._table.finish(name)
        limit = self._admission_queue.limits.find(name)
        if outcome.first_byte_s is not None:
            limit.record_latency(outcome.first_byte_s)
        if outcome.refused:
            limit.record_overload()
        elif outcome.succeeded:
            self._table.outliers.record_success(name)
        elif not outcome.abandoned:
            self._table.outliers.record_failure(name)


class _FreeTargetChoice:
    """Choose among the targets with a free slot."""

    def __init__(
        self,
        policy: RoutingPolicy,
        table: RoutingTable,
        facts: RequestFacts,
        states: dict[str, TargetState],
    ) -> None:
        self._policy = policy
        self._table = table
        self._need = _build_need(facts)
        self._states = states

    def __call__(self, names: Sequence[str]) -> str:
        """Return the name of the chosen target."""
        free = [self._states[name] for name in names]
        return self._policy.choose(self._need, free, self._table).name


class QuarantineGuard(CrashGuard):
    """Report every attempt to the quarantine."""

    def __init__(
        self, quarantine: Quarantine, find_instance: FindInstance
    ) -> None:
        """Accept a function that returns the current instance of a target."""
        self._quarantine = quarantine
        self._find_instance = find_instance
        self._watched: dict[GuardedRun, _WatchedAttempt] = {}

    async def check(self, fingerprint: str) -> None:
        """Raise ``QuarantinedError`` for a quarantined request."""
        self._quarantine.check(fingerprint)

    def list_usable(
        self,
        fingerprint: str,
        candidates: Sequence[TargetState],
    ) -> Sequence[TargetState]:
        """Return the targets that no other suspect has claimed."""
        usable = self._quarantine.list_usable(
            fingerprint,
            [state.name for state in candidates],
        )
        return [state for state in candidates if state.name in usable]

    async def on_start(self, run: GuardedRun) -> None:
        """Start watching an attempt; a suspect may have to wait."""
        context = self._quarantine.watch(
            run.fingerprint,
            run.target,
            functools.partial(self._find_instance, run.target),
        )
        try:
            attempt = await context.__aenter__()  # noqa: WPS609
        except SuspectBusyError as error:
            # Another target may have no suspect.
            raise TargetRefusedError(
                error.message,
                reason=error.code,
            ) from error
        self._watched[run] = _WatchedAttempt(context, attempt)

    async def on_success(self, run: GuardedRun) -> None:
        """Mark the attempt as successful, which clears a suspect."""
        watched = self._watched[run]
        self._watched[run] = watched._replace(succeeded=True)

    async def on_crash(self, run: GuardedRun) -> None:
        """Mark all requests in flight at the target as suspects."""
        await self._quarantine.record_crash(self._watched[run].attempt)

    async def on_end(self, run: GuardedRun) -> None:
        """Stop watching an attempt; only a success clears its request."""
        watched = self._watched.pop(run)
        if watched.succeeded:
            await watched.context.__aexit__(None, None, None)  # noqa: WPS609
        else:
            await _end_failed(watched.context)


class _AttemptEndedError(CassiarailError):
    """End the watch of an attempt without clearing its request."""

    error_id = 'CR3299'
    code = 'attempt_ended'


async def _end_failed(context: _RunContext) -> None:
    error = _AttemptEndedError('the attempt ended without a response')
    with contextlib.suppress(_AttemptEndedError):
        await context.__aexit__(type(error), error, None)  # noqa: WPS609


def _build_need(facts: RequestFacts) -> RequestNeed:
    return RequestNeed(
        facts.service,
        facts.model,
        facts.adapter,
        facts.prefix,
    )
