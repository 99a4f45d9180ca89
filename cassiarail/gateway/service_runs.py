"""Send one call of a plain service, with retries if permitted."""

import uuid
from typing import NamedTuple

from opentelemetry.context import Context

from cassiarail.core.exceptions import TargetError
from cassiarail.gateway.attempts import (
    AttemptDependencies,
    AttemptPlan,
    AttemptTimer,
    LeavingTargets,
)
from cassiarail.gateway.hooks import RequestFacts
from cassiarail.gateway.idempotency import (
    AtMostOnceCall,
    AtMostOnceDependencies,
    build_claim_request,
)
from cassiarail.routing.snapshot import TargetKind, TargetState
from cassiarail.store.claims import RecordedResponse
from cassiarail.targets.backends.service import (
    PlainService,
    ServiceCall,
    ServiceResponse,
)
from cassiarail.targets.exceptions import (
    ResponseTooLargeError,
    TargetFailedError,
)

_RETRIED_STATUSES = frozenset((502, 503, 504))


class ServiceDependencies(NamedTuple):
    """Hold the objects that all calls of plain services share."""

    attempts: AttemptDependencies
    client: PlainService
    at_most_once: AtMostOnceDependencies
    leaving: LeavingTargets


class ServiceJob(NamedTuple):
    """Hold one call; ``idle_s`` is the idle timeout of a target."""

    facts: RequestFacts
    call: ServiceCall
    idle_s: float
    context: Context


class ServiceRun:
    """Send one call, and retry it on other targets if permitted."""

    def __init__(
        self, dependencies: ServiceDependencies, job: ServiceJob
    ) -> None:
        self.plan = AttemptPlan(
            dependencies.attempts, job.facts, dependencies.leaving
        )
        self.job = job
        self._dependencies = dependencies

    async def call_idempotent(self) -> ServiceResponse:
        """Return the first response that isn't a failure of the target."""
        while True:
            target = await self.plan.next_target(self._find_candidates())
            try:
                response = await self._send(target)
            except ResponseTooLargeError:
                raise
            except TargetError as error:
                self.plan.record_failure(target, error)
            else:
                self._dependencies.attempts.budget.record_success()
                return response

    async def call_at_most_once(
        self,
        key: uuid.UUID,
    ) -> ServiceResponse | RecordedResponse:
        """Run the call at most once under its key."""
        call = AtMostOnceCall(
            self._dependencies.at_most_once,
            self.plan,
            self._find_candidates,
            self._send_on_new_connection,
        )
        facts = self.job.facts
        request = build_claim_request(
            facts.caller,
            key,
            facts.service,
            self.job.call,
        )
        return await call.run(request)

    def _find_candidates(self) -> list[TargetState]:
        snapshot = self._dependencies.attempts.snapshot()
        return [
            target
            for target in snapshot.find_targets(self.job.facts.service)
            if target.kind is TargetKind.PLAIN
        ]

    async def _send_on_new_connection(
        self, target: TargetState
    ) -> ServiceResponse:
        # The deadline is the only timeout: the call must not be repeated, so
        # abandoning it earlier would only lose its outcome.
        remaining = self.job.facts.deadline.remaining(
            self._dependencies.attempts.clock,
        )
        return await self._attempt(target, remaining, fresh=True)

    async def _send(self, target: TargetState) -> ServiceResponse:
        return await self._attempt(target, self.job.idle_s, fresh=False)

    async def _attempt(
        self,
        target: TargetState,
        idle_s: float,
        *,
        fresh: bool,
    ) -> ServiceResponse:
        dependencies = self._dependencies.attempts
        timer = AttemptTimer(dependencies, target, self.job.facts)
        with (
            timer.measure(),
            dependencies.tracer.span(
                'cassiarail.gateway.attempt',
                self.job.context,
                target=target.name,
            ) as context,
            self.plan.verdicts.attempt(),
        ):
            response = await self._dependencies.client.call(
                target.address,
                self.plan.build_hop(context, idle_s),
                self.job.call,
                fresh=fresh,
            )
            timer.record_first_byte()
            if response.status in _RETRIED_STATUSES and not fresh:
                raise TargetFailedError(
                    f'service responded with status {response.status}',
                    verdict=response.verdict,
                )
        return response
