"""Run a non-idempotent call at most once."""

import hashlib
import uuid
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from cassiarail.core.events import emit_event
from cassiarail.core.exceptions import RequestError, TargetError
from cassiarail.core.verdict import Verdict
from cassiarail.gateway.attempts import AttemptPlan
from cassiarail.gateway.background import BackgroundJobs
from cassiarail.gateway.events import CLAIM_UNCERTAIN
from cassiarail.gateway.exceptions import AttemptsFailedError
from cassiarail.gateway.metrics import GatewayMetrics
from cassiarail.routing.snapshot import TargetState
from cassiarail.store.claim_errors import ClaimUnavailableError
from cassiarail.store.claims import (
    Claim,
    ClaimRepository,
    ClaimRequest,
    ClaimState,
    RecordedResponse,
    record_response,
)
from cassiarail.targets.backends.service import ServiceCall, ServiceResponse

SendCall = Callable[[TargetState], Awaitable[ServiceResponse]]
FindTargets = Callable[[], list[TargetState]]
_RETRY_AFTER_S = 2


class AtMostOnceDependencies(NamedTuple):
    """Hold the objects that all non-idempotent calls share."""

    claims: ClaimRepository
    jobs: BackgroundJobs
    metrics: GatewayMetrics


class AtMostOnceCall:
    """Claim a non-idempotent call, send it and close its claim."""

    def __init__(
        self,
        dependencies: AtMostOnceDependencies,
        plan: AttemptPlan,
        find_targets: FindTargets,
        send: SendCall,
    ) -> None:
        """Accept ``send``, which must use a new connection."""
        self._dependencies = dependencies
        self._plan = plan
        self._find_targets = find_targets
        self._send = send

    async def run(
        self,
        request: ClaimRequest,
    ) -> ServiceResponse | RecordedResponse:
        """Return the response of the call, or the recorded one.

        Raises ``RequestError``, whose verdict is ``not-run`` only if no target
        can have run the call under this key.
        """
        if self._dependencies.jobs.is_full():
            raise ClaimUnavailableError(
                'too many claims are waiting for the store',
                retry_after_s=_RETRY_AFTER_S,
            )
        claim = await self._dependencies.claims.claim(request)
        if not isinstance(claim, Claim):
            self._count('recorded')
            return claim
        try:
            response = await self._send_until_run(claim)
        except RequestError:
            raise
        except BaseException:
            self._close_unfinished(claim)
            raise
        return response

    async def _send_until_run(self, claim: Claim) -> ServiceResponse:
        while True:
            target = await self._next_target(claim)
            try:
                response = await self._send(target)
            except TargetError as error:
                if error.verdict is not Verdict.NOT_RUN:
                    self._close_failed(claim, error)
                    raise AttemptsFailedError(
                        f'outcome of the call is unknown: {error}',
                        verdict=error.verdict,
                    ) from error
                self._plan.record_failure(target, error)
            else:
                self._close_answered(claim, response)
                return response

    async def _next_target(self, claim: Claim) -> TargetState:
        try:
            return await self._plan.next_target(self._find_targets())
        except RequestError:
            self._count('void')
            await self._dependencies.claims.void(claim)
            raise

    def _close_answered(self, claim: Claim, response: ServiceResponse) -> None:
        recorded = record_response(
            response.status,
            [list(pair) for pair in response.headers],
            response.body,
            response.verdict.value,
        )
        self._count('done')
        self._dependencies.claims.close(claim, ClaimState.DONE, recorded)

    def _close_failed(self, claim: Claim, error: TargetError) -> None:
        ran = error.verdict is Verdict.RAN
        state = ClaimState.DONE if ran else ClaimState.UNCERTAIN
        self._count(state.value)
        emit_event(CLAIM_UNCERTAIN, claim=claim.name, error=error.code)
        self._dependencies.claims.close(claim, state)

    def _close_unfinished(self, claim: Claim) -> None:
        """Close the claim of a call that was cancelled at its deadline."""
        not_sent = self._plan.verdicts.combined() is Verdict.NOT_RUN
        state = ClaimState.VOID if not_sent else ClaimState.UNCERTAIN
        self._count(state.value)
        self._dependencies.claims.close(claim, state)

    def _count(self, outcome: str) -> None:
        self._dependencies.metrics.claims.labels(outcome).inc()


def build_claim_request(
    caller: str,
    key: uuid.UUID,
    service: str,
    call: ServiceCall,
) -> ClaimRequest:
    """Return the identity of a call, with a digest of all its inputs."""
    digest = hashlib.sha256()
    for part in (service, call.method, call.path):
        digest.update(part.encode())
        digest.update(b'\0')
    digest.update(call.body)
    return ClaimRequest(caller, key, digest.hexdigest())
