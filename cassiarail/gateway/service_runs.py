"""Make the attempts of one call of a plain service."""

import uuid
from typing import NamedTuple

from opentelemetry.context import Context

from cassiarail.core.exceptions import TargetError
from cassiarail.gateway.attempts import (
    AttemptClock,
    AttemptPlan,
    AttemptTools,
    LeavingMemory,
)
from cassiarail.gateway.hooks import RequestFacts
from cassiarail.gateway.idempotency import (
    OnceCall,
    OnceTools,
    build_claim_request,
)
from cassiarail.routing.snapshot import TargetKind, TargetState
from cassiarail.store.claims import RecordedAnswer
from cassiarail.targets.backends.service import (
    PlainService,
    ServiceAnswer,
    ServiceCall,
)
from cassiarail.targets.exceptions import (
    AnswerTooLargeError,
    TargetFailedError,
)

_RETRIED_STATUSES = frozenset((502, 503, 504))


class ServiceTools(NamedTuple):
    """Hold what all calls of plain services share."""

    attempts: AttemptTools
    client: PlainService
    once: OnceTools
    leaving: LeavingMemory


class ServiceJob(NamedTuple):
    """Hold one call; ``idle_s`` bounds the silence of a target."""

    facts: RequestFacts
    call: ServiceCall
    idle_s: float
    context: Context


class ServiceRun:
    """Send one call to as many targets as its kind permits."""

    def __init__(self, tools: ServiceTools, job: ServiceJob) -> None:
        self.plan = AttemptPlan(tools.attempts, job.facts, tools.leaving)
        self.job = job
        self._tools = tools

    async def call_idempotent(self) -> ServiceAnswer:
        """Return the first answer that isn't a failure of the target."""
        while True:
            target = await self.plan.next_target(self._find_candidates())
            try:
                answer = await self._send(target)
            except AnswerTooLargeError:
                raise
            except TargetError as error:
                self.plan.note_failure(target, error)
            else:
                self._tools.attempts.budget.record_success()
                return answer

    async def call_once(
        self,
        key: uuid.UUID,
    ) -> ServiceAnswer | RecordedAnswer:
        """Run the call at most once under its key."""
        call = OnceCall(
            self._tools.once,
            self.plan,
            self._find_candidates,
            self._send_fresh,
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
        snapshot = self._tools.attempts.snapshot()
        return [
            target
            for target in snapshot.find_targets(self.job.facts.service)
            if target.kind is TargetKind.PLAIN
        ]

    async def _send_fresh(self, target: TargetState) -> ServiceAnswer:
        # The caller waits until its deadline, because giving up a call that
        # must not be repeated earlier only loses its outcome.
        remaining = self.job.facts.deadline.remaining(
            self._tools.attempts.clock,
        )
        return await self._attempt(target, remaining, fresh=True)

    async def _send(self, target: TargetState) -> ServiceAnswer:
        return await self._attempt(target, self.job.idle_s, fresh=False)

    async def _attempt(
        self,
        target: TargetState,
        idle_s: float,
        *,
        fresh: bool,
    ) -> ServiceAnswer:
        tools = self._tools.attempts
        timing = AttemptClock(tools, target, self.job.facts)
        with (
            timing.measure(),
            tools.tracer.span(
                'cassiarail.gateway.attempt',
                self.job.context,
                target=target.name,
            ) as context,
            self.plan.verdicts.attempt(),
        ):
            answer = await self._tools.client.call(
                target.address,
                self.plan.build_hop(context, idle_s),
                self.job.call,
                fresh=fresh,
            )
            timing.note_first_byte()
            if answer.status in _RETRIED_STATUSES and not fresh:
                raise TargetFailedError(
                    f'service answered {answer.status}',
                    verdict=answer.verdict,
                )
        return answer
