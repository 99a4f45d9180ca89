"""Handle a caller's request: route it, try targets and respond."""

import asyncio
import http
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from cassiarail.core.clock import Clock
from cassiarail.core.events import emit_event
from cassiarail.core.exceptions import RequestError
from cassiarail.core.verdict import Verdict
from cassiarail.edge.crashes.quarantines import Quarantines
from cassiarail.edge.events import (
    REQUEST_CRASHED,
    REQUEST_REFUSED,
    TARGET_EJECTED,
)
from cassiarail.edge.fleet.demand import DemandMeter
from cassiarail.edge.metrics import EdgeMetrics
from cassiarail.edge.registry.configuration import EngineType
from cassiarail.edge.registry.targets import ModelVariant, Target
from cassiarail.edge.requests.admission import (
    RETRY_UNCONFIGURED_S,
    RequestAdmission,
)
from cassiarail.edge.requests.attempts import AttemptRunner
from cassiarail.edge.requests.deadlines import Deadlines
from cassiarail.edge.requests.durations import DurationEstimator
from cassiarail.edge.requests.endings import end_request, refuse
from cassiarail.edge.requests.jobs import AttemptResult, Job, Outcome
from cassiarail.edge.requests.refusals import Refusal, build_stop_refusal
from cassiarail.edge.requests.request_log import (
    log_end,
    log_failed_attempt,
    log_resumption,
)
from cassiarail.edge.requests.runs import RunMonitor
from cassiarail.edge.requests.selection import TargetSelector
from cassiarail.edge.requests.suspects import CrashSuspects
from cassiarail.edge.requests.switching import (
    MAX_ATTEMPTS,
    TargetSwitcher,
    compute_patience_s,
)
from cassiarail.edge.requests.timeline import Wait
from cassiarail.edge.requests.waiting import PlacementWaits
from cassiarail.http1.exchanges import Exchange
from cassiarail.limits.crash_attribution import Quarantine
from cassiarail.limits.shared_budget import SharedBudget
from cassiarail.routing.outliers import OutlierDetector

_RETRY_AFTER_S = 0.3
# Time to detect an unreachable target and load its models elsewhere.
_RETRY_UNREACHABLE_S = 1.2
# Reserved for the network round trip to the target when a request waits.
_NETWORK_MARGIN_S = 0.1
# An answer takes longer than this over the network. Targets are told whole
# milliseconds and may end a request that much before its deadline.
_LEAST_TIME_S = 0.01
_WAIT_SHARE = 0.8
_INTERNAL_ERROR = Refusal(
    http.HTTPStatus.SERVICE_UNAVAILABLE,
    'internal error of this host',
    _RETRY_AFTER_S,
)


class ForwardingParts(NamedTuple):
    """Hold the dependencies of the forwarding path."""

    admission: RequestAdmission
    selector: TargetSelector
    runner: AttemptRunner
    runs: RunMonitor
    outliers: OutlierDetector
    waits: PlacementWaits
    demand: DemandMeter
    suspects: CrashSuspects
    quarantines: Quarantines
    metrics: EdgeMetrics
    claim_probe: Callable[[Quarantine], Awaitable[bool]]
    budget_of: Callable[[str], SharedBudget]
    estimate_load_s: Callable[[str, ModelVariant], float]
    clock: Clock


class Forwarder:
    """Forward the requests of callers to targets."""

    def __init__(self, parts: ForwardingParts) -> None:
        self.accepts_new = True
        self.durations = DurationEstimator(parts.clock)
        self.deadlines = Deadlines(self.durations)
        self._parts = parts
        self._switcher = TargetSwitcher(
            parts.selector, parts.runs, parts.budget_of
        )

    def refuse_new(self) -> None:
        """Refuse new requests and those that wait for a model."""
        if self.accepts_new:
            self.accepts_new = False
            self._parts.waits.close()

    async def forward(self, exchange: Exchange) -> None:
        """Forward one request and send its response."""
        try:
            job = await self._admit(exchange)
        except Refusal as refusal:
            self._refuse_unadmitted(exchange, refusal)
            return
        except RequestError as error:
            self._refuse_unadmitted(
                exchange,
                Refusal(http.HTTPStatus.BAD_REQUEST, error.message),
            )
            return
        except Exception as error:
            emit_event(REQUEST_CRASHED, peer=exchange.peer, error=repr(error))
            self._refuse_unadmitted(exchange, _INTERNAL_ERROR)
            return
        with self._parts.demand.track(
            job.service.name,
            job.known_variant,
            job.route.objective_s,
        ):
            await self._serve(job)

    async def _admit(self, exchange: Exchange) -> Job:
        job = self._parts.admission.admit(exchange)
        if not self.accepts_new:
            raise build_stop_refusal()
        await self._parts.admission.charge(job)
        return job

    async def _serve(self, job: Job) -> None:
        ending = 'caller left'
        try:
            ending = await self._serve_with_timeout(job)
        except Refusal as refusal:
            ending = end_request(job, refusal)
        except Exception as error:
            emit_event(
                REQUEST_CRASHED,
                request=job.request.request_id,
                error=repr(error),
            )
            ending = end_request(job, _INTERNAL_ERROR)
        finally:
            job.release_memory()
            self._record_end(job, ending)

    async def _serve_with_timeout(self, job: Job) -> str:
        self._parts.budget_of(job.service.name).record_request()
        with self.deadlines.limit(job) as timeout:
            try:
                async with timeout:
                    last_attempt = await self._try_targets(job)
            except TimeoutError:
                return self._end_late(job)
        if last_attempt.outcome is Outcome.SUCCEEDED:
            self._record_duration(job)
            return 'answered'
        if job.is_shortened:
            return end_request(job, build_stop_refusal())
        return end_request(
            job,
            Refusal(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                last_attempt.reason,
                self._parts.selector.pause_s(job) or _RETRY_AFTER_S,
            ),
        )

    def _record_duration(self, job: Job) -> None:
        now = asyncio.get_running_loop().time()
        self.durations.record(job.route.name, now - job.newest.sent_at)

    def _end_late(self, job: Job) -> str:
        refusal = build_stop_refusal()
        if not job.is_shortened:
            refusal = Refusal(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                'no target was free in time',
                _RETRY_AFTER_S,
            )
        ending = end_request(job, refusal, http.HTTPStatus.GATEWAY_TIMEOUT)
        return f'out of time: {ending}'

    async def _try_targets(self, job: Job) -> AttemptResult:
        while True:
            target = await self._find_target(job)
            if target is None:
                return job.attempts[-1]
            if job.attempts and job.response_started:
                log_resumption(job, target)
            attempt_result = await self._attempt(job, target)
            if not await self._may_try_next(job, attempt_result):
                return attempt_result

    async def _attempt(self, job: Job, target: Target) -> AttemptResult:
        job.tried_targets.append(target)
        job.try_switch = lambda reading: self._switcher.try_switch(job, reading)
        attempt_result = await self._parts.runner.run(job, target)
        job.record_attempt(attempt_result)
        self._parts.metrics.count_attempt(attempt_result.outcome.value)
        if attempt_result.outcome is Outcome.SUCCEEDED:
            self._parts.outliers.record_success(target.instance)
            return attempt_result
        log_failed_attempt(job, target, attempt_result)
        if attempt_result.outcome is Outcome.NOT_RUN:
            self._parts.selector.record_missing(target, job.request.variant)
        else:
            self._record_failure(job, target, attempt_result)
        return attempt_result

    def _record_failure(
        self,
        job: Job,
        target: Target,
        attempt_result: AttemptResult,
    ) -> None:
        if attempt_result.outcome is not Outcome.FAILED:
            self._parts.suspects.record(job.fingerprint(), target.identity)
        if self._parts.outliers.record_failure(target.instance):
            emit_event(TARGET_EJECTED, target=target.instance)

    async def _may_try_next(
        self, job: Job, attempt_result: AttemptResult
    ) -> bool:
        """Return whether another target may be tried after an attempt."""
        if attempt_result.outcome is Outcome.SUCCEEDED:
            return False
        may_have_run = attempt_result.outcome is not Outcome.NOT_RUN
        if may_have_run and not _may_repeat(job):
            return False
        is_late = self._read_time_left(job) < _LEAST_TIME_S
        if is_late or len(job.attempts) >= MAX_ATTEMPTS:
            return False
        # Other repeatable requests may run at several targets at once.
        may_go_on = job.route.is_stream and attempt_result.may_go_on
        if may_go_on and not await self._switcher.has_run_ended(job):
            return False
        if attempt_result.is_stalled:
            return True
        return self._parts.budget_of(job.service.name).try_spend()

    def _read_time_left(self, job: Job) -> float:
        return job.deadline - asyncio.get_running_loop().time()

    async def _find_target(self, job: Job) -> Target | None:
        """Return a target; wait for one only if it can be usable in time.

        Returns ``None`` if targets were tried and no other is left.
        """
        if self._parts.suspects.is_quarantined(job.fingerprint):
            raise Refusal(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                'targets crashed while running this request',
            )
        await self._check_quarantines(job)
        job.timeline.waits_for = Wait.TARGET
        while True:
            if job.verdict is Verdict.NOT_RUN and self.deadlines.ends_before(
                job
            ):
                raise build_stop_refusal()
            target = self._parts.selector.choose(job)
            if target is not None:
                return target
            if not job.attempts:
                await self._wait_for_target(job)
                # Other tasks run, even if the targets' states change at once.
                await asyncio.sleep(0)
                continue
            if compute_patience_s(job) <= 0:
                return None
            await self._parts.waits.wait_for_change()

    async def _check_quarantines(self, job: Job) -> None:
        """Refuse a request whose parts crash targets, unless as a probe."""
        decision = await self._parts.quarantines.decide(job.shared_parts)
        if decision.quarantine is None:
            return
        if await self._parts.claim_probe(decision.quarantine):
            return
        self._parts.metrics.count_quarantined()
        raise Refusal(
            http.HTTPStatus.SERVICE_UNAVAILABLE,
            'targets crashed while running prompts with these parts',
            decision.retry_after_s,
        )

    async def _wait_for_target(self, job: Job) -> None:
        service, variant = job.service, job.request.variant
        pause_s = self._parts.selector.pause_s(job)
        if pause_s is not None:
            raise Refusal(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                'all targets want a pause',
                pause_s,
            )
        if variant is None or service.engine is None:
            raise Refusal(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                'no target is known',
                _RETRY_AFTER_S,
            )
        if self._parts.selector.all_unreachable(job):
            self._record_refused(job)
            raise Refusal(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                'the targets that hold the model are unreachable',
                _RETRY_UNREACHABLE_S,
            )
        engine = service.engine
        loop = asyncio.get_running_loop()
        # Units that a request doesn't use yet are for others meanwhile.
        self._parts.admission.settle(job)
        with job.timeline.time_model_wait(loop.time):
            is_available = await self._parts.waits.wait(
                service.name,
                variant,
                lambda: bool(
                    self._parts.selector.list_usable(service.name, variant),
                ),
                lambda: self._is_load_too_late(job, engine),
            )
        if not is_available:
            load_s = self._estimate_load_s(job, engine)
            if not self.accepts_new or self.deadlines.ends_before(
                job, load_s + _NETWORK_MARGIN_S
            ):
                raise build_stop_refusal()
            self._record_refused(job)
            raise Refusal(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                'no engine can hold the model in time',
                load_s,
            )
        await self._parts.admission.charge(job)

    def _record_refused(self, job: Job) -> None:
        if job.known_variant is not None:
            self._parts.demand.record_refused(
                job.service.name, job.known_variant
            )

    def _is_load_too_late(self, job: Job, engine: EngineType) -> bool:
        until = min(
            job.deadline - _NETWORK_MARGIN_S,
            job.exchange.received_at + _WAIT_SHARE * job.caller_timeout_s,
        )
        now = asyncio.get_running_loop().time()
        load_s = self._estimate_load_s(job, engine)
        return now + load_s > until or self.deadlines.ends_before(
            job, load_s + _NETWORK_MARGIN_S
        )

    def _estimate_load_s(self, job: Job, engine: EngineType) -> float:
        variant = job.request.variant
        if variant is None:
            return 0
        if variant.model not in engine.models:
            raise Refusal(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                'the model is not configured',
                RETRY_UNCONFIGURED_S,
            )
        return self._parts.estimate_load_s(job.service.name, variant)

    def _refuse_unadmitted(self, exchange: Exchange, refusal: Refusal) -> None:
        # The exchange holds nothing of a request that has its response.
        target = exchange.head.target.decode('latin-1')
        refuse(exchange, refusal)
        emit_event(
            REQUEST_REFUSED,
            peer=exchange.peer,
            target=target,
            status=refusal.status,
            reason=refusal.reason,
        )

    def _record_end(self, job: Job, ending: str) -> None:
        self._parts.admission.settle(job)
        seconds = asyncio.get_running_loop().time() - job.exchange.received_at
        self._parts.metrics.count_request(
            job.route.kind.value,
            job.verdict.value,
            seconds,
        )
        log_end(job, ending, seconds, self.deadlines.stop_left_s)


def _may_repeat(job: Job) -> bool:
    return job.route.may_repeat and job.possible_runs < job.route.attempts
