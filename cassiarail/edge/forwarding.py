"""Handle a caller's request: route it, try targets, answer."""

import asyncio
import http
from collections.abc import Callable
from typing import NamedTuple

from cassiarail.core.events import emit_event
from cassiarail.core.exceptions import RequestError
from cassiarail.core.verdict import Verdict
from cassiarail.edge.attempts import AttemptRunner
from cassiarail.edge.configuration import CurrentConfiguration, EngineType
from cassiarail.edge.demand import DemandMeter
from cassiarail.edge.dialect import Dialect
from cassiarail.edge.events import (
    ATTEMPT_FAILED,
    REQUEST_CRASHED,
    REQUEST_ENDED,
    REQUEST_REFUSED,
    TARGET_EJECTED,
)
from cassiarail.edge.jobs import AttemptResult, Job, Outcome
from cassiarail.edge.metrics import EdgeMetrics
from cassiarail.edge.selection import TargetSelector
from cassiarail.edge.suspects import CrashSuspects
from cassiarail.edge.targets import Target, Want
from cassiarail.edge.waiting import PlacementWaits
from cassiarail.http1.exchanges import Exchange
from cassiarail.http1.messages import Headers
from cassiarail.limits.shared_budget import SharedBudget
from cassiarail.routing.outliers import OutlierDetector

# Sends of one request that targets may turn away as not run.
_MAX_SENDS = 4
_RETRY_SOON_S = 0.3
# A lost target is noticed and its models are loaded elsewhere in this time.
_RETRY_LOST_S = 1.2
# A host without a configuration asks for it several times a second.
_RETRY_UNCONFIGURED_S = 1.0
# Left for the way to the target and back when a wait is planned.
_MARGIN_S = 0.1
_WAIT_SHARE = 0.8
_DEADLINE_MARGIN_S = 0.01


class Refusal(Exception):
    """End a request that has not run."""

    def __init__(
        self,
        status: int,
        reason: str,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s


class ForwardingParts(NamedTuple):
    """Hold what the forwarding path works with."""

    dialect: Dialect
    configuration: CurrentConfiguration
    selector: TargetSelector
    runner: AttemptRunner
    outliers: OutlierDetector
    waits: PlacementWaits
    demand: DemandMeter
    suspects: CrashSuspects
    metrics: EdgeMetrics
    budget_of: Callable[[str], SharedBudget]
    load_estimate: Callable[[str, Want], float]


class Forwarder:
    """Answer the requests of callers."""

    def __init__(self, parts: ForwardingParts) -> None:
        self.accepts_new = True
        self._parts = parts

    def refuse_new(self) -> None:
        """Turn away new requests and those that wait for a model."""
        if self.accepts_new:
            self.accepts_new = False
            self._parts.waits.close()

    async def forward(self, exchange: Exchange) -> None:
        """Answer one request; never raise."""
        try:
            job = self._admit(exchange)
        except Refusal as refusal:
            self._refuse(exchange, refusal)
            return
        except RequestError as error:
            self._refuse(
                exchange,
                Refusal(http.HTTPStatus.BAD_REQUEST, error.message),
            )
            return
        with self._parts.demand.track(
            job.service.name,
            job.request.variant,
            job.route.objective_s,
        ):
            await self._serve(job)

    def _admit(self, exchange: Exchange) -> Job:
        configuration = self._parts.configuration.current
        if configuration is None:
            raise Refusal(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                'no configuration is known yet',
                _RETRY_UNCONFIGURED_S,
            )
        request = self._parts.dialect.decode_request(exchange.head)
        route = configuration.find_route(request.host, request.path)
        if route is None:
            raise Refusal(http.HTTPStatus.NOT_FOUND, 'no route')
        if not self.accepts_new:
            raise Refusal(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                'this host is stopping',
                0,
            )
        return Job(exchange, request, configuration, route)

    async def _serve(self, job: Job) -> None:
        told = 'crashed'
        try:
            told = await self._serve_in_time(job)
        except asyncio.CancelledError:
            told = 'caller left'
            raise
        except Refusal as refusal:
            told = f'refused: {refusal.reason}'
            self._refuse(job.exchange, refusal, job)
        except Exception as error:
            emit_event(
                REQUEST_CRASHED,
                request=job.request.request_id,
                error=repr(error),
            )
            self._fail(job, http.HTTPStatus.BAD_GATEWAY)
        finally:
            self._record(job, told)

    async def _serve_in_time(self, job: Job) -> str:
        self._parts.budget_of(job.service.name).record_request()
        try:
            async with asyncio.timeout_at(job.deadline - _DEADLINE_MARGIN_S):
                last = await self._try_targets(job)
        except TimeoutError:
            if job.has_begun:
                job.exchange.break_off()
            elif job.verdict is Verdict.NOT_RUN:
                raise Refusal(
                    http.HTTPStatus.SERVICE_UNAVAILABLE,
                    'no target was free in time',
                    _RETRY_SOON_S,
                ) from None
            else:
                self._fail(job, http.HTTPStatus.GATEWAY_TIMEOUT)
            return 'out of time'
        return self._conclude(job, last)

    def _conclude(self, job: Job, last: AttemptResult) -> str:
        if last.outcome is Outcome.ANSWERED:
            return 'answered'
        if job.has_begun:
            job.exchange.break_off()
            return 'stream broken off'
        failures = [each for each in job.attempts if each.answer is not None]
        if failures and failures[-1].answer is not None:
            job.exchange.answer(*failures[-1].answer)
            return 'failure of the target'
        if job.verdict is Verdict.NOT_RUN:
            raise Refusal(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                last.reason,
                _RETRY_SOON_S,
            )
        self._fail(job, http.HTTPStatus.BAD_GATEWAY)
        return 'outcome unknown'

    async def _try_targets(self, job: Job) -> AttemptResult:
        while True:
            target = await self._find_target(job)
            if target is None:
                return job.attempts[-1]
            ended = await self._attempt(job, target)
            if not self._may_go_on(job, ended):
                return ended

    async def _attempt(self, job: Job, target: Target) -> AttemptResult:
        job.tried.append(target)
        job.may_switch = lambda: self._parts.selector.can_switch(job)
        ended = await self._parts.runner.run(job, target)
        job.attempts.append(ended)
        self._parts.metrics.count_attempt(ended.outcome.value)
        if ended.outcome is Outcome.ANSWERED:
            self._parts.outliers.record_success(target.instance)
            return ended
        emit_event(
            ATTEMPT_FAILED,
            request=job.request.request_id,
            target=target.instance,
            address=str(target.address),
            outcome=ended.outcome.value,
            reason=ended.reason,
            directory=target.holdings.order_count,
        )
        if ended.outcome is Outcome.NOT_RUN:
            self._parts.selector.note_absent(target, job.request.variant)
        else:
            self._note_failure(job, target, ended)
        return ended

    def _note_failure(
        self,
        job: Job,
        target: Target,
        ended: AttemptResult,
    ) -> None:
        if ended.outcome is not Outcome.FAILED:
            self._parts.suspects.record(job.fingerprint(), target.identity)
        if self._parts.outliers.record_failure(target.instance):
            emit_event(TARGET_EJECTED, target=target.instance)

    def _may_go_on(self, job: Job, ended: AttemptResult) -> bool:
        """Tell whether another target may be tried after a ended."""
        if ended.outcome is Outcome.ANSWERED:
            return False
        is_repeat = ended.outcome is not Outcome.NOT_RUN
        if is_repeat and not _may_repeat(job):
            return False
        if len(job.attempts) >= _MAX_SENDS:
            return False
        return self._parts.budget_of(job.service.name).try_spend()

    async def _find_target(self, job: Job) -> Target | None:
        """Return a target; wait for one only if that can help.

        Returns ``None`` if targets were tried and no other is left.
        """
        if self._parts.suspects.is_quarantined(job.fingerprint):
            raise Refusal(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                'targets crashed while running this request',
            )
        while True:
            target = self._parts.selector.choose(job)
            if target is not None or job.attempts:
                return target
            await self._wait_for_target(job)

    async def _wait_for_target(self, job: Job) -> None:
        service, variant = job.service, job.request.variant
        now = asyncio.get_running_loop().time()
        limit_s = min(
            job.deadline - now - _MARGIN_S,
            job.exchange.received_at + _WAIT_SHARE * job.patience_s - now,
        )
        if variant is None or service.engine is None:
            raise Refusal(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                'no target is known',
                _RETRY_SOON_S,
            )
        if self._parts.selector.are_lost(job):
            self._parts.demand.note_refused(service.name, variant)
            raise Refusal(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                'the targets that hold the model are out of reach',
                _RETRY_LOST_S,
            )
        expected_s = self._expect(service.engine, service.name, variant)
        if expected_s > limit_s:
            self._parts.demand.note_refused(service.name, variant)
            raise Refusal(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                'no engine can hold the model in time',
                expected_s,
            )
        came = await self._parts.waits.wait(
            service.name,
            variant,
            lambda: bool(
                self._parts.selector.list_usable(service.name, variant),
            ),
            limit_s,
        )
        if not came:
            raise Refusal(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                'no engine held the model in time',
                _RETRY_SOON_S,
            )

    def _expect(self, engine: EngineType, service: str, variant: Want) -> float:
        if variant.model not in engine.models:
            raise Refusal(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                'the model is not configured',
                _RETRY_UNCONFIGURED_S,
            )
        return self._parts.load_estimate(service, variant)

    def _fail(self, job: Job, status: int) -> None:
        if job.has_begun:
            job.exchange.break_off()
            return
        _answer(job.exchange, status, 'the request may have run', [])

    def _refuse(
        self,
        exchange: Exchange,
        refusal: Refusal,
        job: Job | None = None,
    ) -> None:
        headers: Headers = []
        if refusal.retry_after_s is not None:
            text = f'{refusal.retry_after_s:.2f}'
            headers.append((b'retry-after', text.encode()))
        _answer(exchange, refusal.status, refusal.reason, headers)
        if job is None:
            emit_event(
                REQUEST_REFUSED,
                peer=exchange.peer,
                target=exchange.head.target.decode('latin-1'),
                status=refusal.status,
                reason=refusal.reason,
            )

    def _record(self, job: Job, ended: str) -> None:
        seconds = asyncio.get_running_loop().time() - job.exchange.received_at
        self._parts.metrics.count_request(
            job.route.kind.value,
            job.verdict.value,
            seconds,
        )
        variant = job.request.variant
        emit_event(
            REQUEST_ENDED,
            request=job.request.request_id,
            ended=ended,
            verdict=job.verdict.value,
            route=job.route.name,
            service=job.service.name,
            want=f'{variant.model}/{variant.adapter}' if variant else '',
            configuration=job.configuration_version,
            targets=[target.instance for target in job.tried],
            seconds=round(seconds, 3),  # noqa: WPS432 - milliseconds
        )


def _may_repeat(job: Job) -> bool:
    return job.route.may_repeat and job.runs < job.route.attempts


def _answer(
    exchange: Exchange,
    status: int,
    reason: str,
    headers: Headers,
) -> None:
    exchange.answer(
        status,
        [(b'content-type', b'text/plain'), *headers],
        reason.encode(),
    )
