"""Produce one complete token stream from one or more attempts."""

import contextlib
import functools
from collections.abc import (
    AsyncIterator,
    Awaitable,
    Callable,
    Mapping,
    Sequence,
)
from typing import Any, NamedTuple

import anyio
from opentelemetry.context import Context

from cassiarail.core.events import emit_event
from cassiarail.core.exceptions import (
    ConnectFailedError,
    ConnectionLostError,
    IdleTimeoutError,
    RequestError,
    TargetError,
    TargetRefusedError,
)
from cassiarail.gateway.attempts import (
    AttemptDependencies,
    AttemptPlan,
    AttemptTimer,
    LeavingTargets,
)
from cassiarail.gateway.background import BackgroundJobs
from cassiarail.gateway.events import (
    STREAM_RESUMED,
    TARGET_CONNECTION_LOST,
    TARGET_UNRESPONSIVE,
)
from cassiarail.gateway.hooks import GuardedRun, RequestFacts
from cassiarail.gateway.relay import EventCursor
from cassiarail.routing.snapshot import TargetKind, TargetState
from cassiarail.targets.backends.base import Hop
from cassiarail.targets.backends.engine import Engine
from cassiarail.targets.connections import TargetResponse
from cassiarail.targets.exceptions import (
    StreamGapError,
    StreamUnknownError,
    TargetRejectedError,
)

Deliver = Callable[[bytes], Awaitable[None]]
_RESUMABLE = (ConnectionLostError, IdleTimeoutError, StreamGapError)
_NOT_RESUMABLE_ON_TARGET = (
    ConnectFailedError,
    StreamUnknownError,
    TargetRefusedError,
)
# Consecutive connections to a target without a new token, after which another
# target is used.
_MAX_STALLS_PER_TARGET = 2
# An engine confirms the end of a stream within one step of its batch.
_CANCEL_TIMEOUT_S = 2.0
# The end of the body after [DONE] is read only so that the connection can be
# reused.
_BODY_END_TIMEOUT_S = 0.1


class CompletionJob(NamedTuple):
    """Hold the parameters of one completion."""

    facts: RequestFacts
    document: Mapping[str, Any]
    idle_s: float
    context: Context


class CompletionDependencies(NamedTuple):
    """Hold the objects that all completions of a gateway share."""

    attempts: AttemptDependencies
    engine: Engine
    jobs: BackgroundJobs
    leaving: LeavingTargets


class CompletionStream:
    """Relay the tokens of one request without gaps or duplicates."""

    def __init__(
        self, dependencies: CompletionDependencies, job: CompletionJob
    ) -> None:
        self.cursor = EventCursor()
        self.plan = AttemptPlan(
            dependencies.attempts, job.facts, dependencies.leaving
        )
        self._dependencies = dependencies
        self._job = job
        self._may_go_on = False

    async def run(self, deliver: Deliver) -> None:
        """Deliver blocks of whole events until the stream is complete.

        Raises ``RequestError`` if no further attempt is permitted, and
        ``TargetRejectedError`` if every target would reject the request.
        """
        try:
            await self._run_attempts(deliver)
        except (RequestError, TargetRejectedError) as error:
            # The error may cover only the last attempt.
            error.verdict = self.plan.verdicts.combined_with(error)
            raise
        self._dependencies.attempts.budget.record_success()

    async def _run_attempts(self, deliver: Deliver) -> None:
        guard = self._dependencies.attempts.guard
        while not self.cursor.is_complete:
            await guard.check(self._job.facts.fingerprint)
            target = await self.plan.next_target(self._find_candidates())
            try:
                await self._attempt(target, deliver)
            except TargetRejectedError:
                raise
            except TargetError as error:
                self.plan.record_failure(target, error)
                if self._may_go_on:
                    raise self.plan.build_failure(
                        'the target may still run the request'
                    ) from error

    def _find_candidates(self) -> Sequence[TargetState]:
        facts = self._job.facts
        snapshot = self._dependencies.attempts.snapshot()
        adapter = f'{facts.model}/{facts.adapter}' if facts.adapter else ''
        candidates = [
            target
            for target in snapshot.find_targets(facts.service)
            if target.kind is TargetKind.ENGINE
            and facts.model in target.models
            and (not adapter or adapter in target.adapters)
        ]
        return self._dependencies.attempts.guard.list_usable(
            facts.fingerprint,
            candidates,
        )

    async def _attempt(self, target: TargetState, deliver: Deliver) -> None:
        facts = self._job.facts
        dependencies = self._dependencies.attempts
        timer = AttemptTimer(dependencies, target, facts)
        with (
            timer.measure(),
            dependencies.tracer.span(
                'cassiarail.gateway.attempt',
                self._job.context,
                target=target.name,
            ) as context,
            self.plan.verdicts.attempt(),
        ):
            hop = self.plan.build_hop(context, self._job.idle_s)
            async with self._report_to_guard(target, hop):
                await self._relay_from_target(
                    target, hop, _BlockSender(deliver, timer)
                )

    @contextlib.asynccontextmanager
    async def _report_to_guard(
        self,
        target: TargetState,
        hop: Hop,
    ) -> AsyncIterator[None]:
        """Report to the crash guard; end the stream on failure."""
        guard = self._dependencies.attempts.guard
        run = GuardedRun(
            self._job.facts.fingerprint,
            hop.request_id,
            target.name,
            target.instance,
        )
        await guard.on_start(run)
        try:
            yield
        except TargetError as error:
            if not _excludes_running_stream(error):
                await self._end_run(target, hop)
            if isinstance(error, ConnectionLostError):
                await guard.on_crash(run)
            raise
        except BaseException:
            self._cancel_later(target, hop)
            raise
        else:
            await guard.on_success(run)
        finally:
            with anyio.CancelScope(shield=True):
                await guard.on_end(run)

    async def _end_run(self, target: TargetState, hop: Hop) -> None:
        """Wait until the engine confirms that it doesn't run the stream."""
        self._may_go_on = True
        try:
            with anyio.move_on_after(_CANCEL_TIMEOUT_S):
                has_ended = await self._dependencies.engine.cancel_stream(
                    target.address, hop
                )
                self._may_go_on = not has_ended
        finally:
            if self._may_go_on:
                self._cancel_later(target, hop)

    def _cancel_later(self, target: TargetState, hop: Hop) -> None:
        self._dependencies.jobs.submit(
            functools.partial(self._cancel, target, hop),
        )

    async def _cancel(self, target: TargetState, hop: Hop) -> None:
        with anyio.move_on_after(hop.connect_s + hop.idle_s):
            await self._dependencies.engine.cancel_stream(target.address, hop)

    async def _relay_from_target(
        self,
        target: TargetState,
        hop: Hop,
        sender: '_BlockSender',
    ) -> None:
        """Relay from one target, reconnecting if a connection fails."""
        failure: TargetError | None = None
        stalls = 0
        while not self.cursor.is_complete:
            delivered_before = self.cursor.delivered
            try:
                await self._read_connection(target, hop, sender, failure)
            except _NOT_RESUMABLE_ON_TARGET as error:
                raise failure or error from error
            except _RESUMABLE as error:
                failure = error
                self._record_disconnect(target, error)
                stalls = (
                    stalls + 1
                    if self.cursor.delivered == delivered_before
                    else 0
                )
                if stalls >= _MAX_STALLS_PER_TARGET:
                    raise

    async def _read_connection(
        self,
        target: TargetState,
        hop: Hop,
        sender: '_BlockSender',
        failure: TargetError | None,
    ) -> None:
        connection = (
            self._start(target, hop)
            if failure is None
            else self._resume(target, hop)
        )
        async with connection as response:
            self.cursor.start_connection()
            await self._relay(response, sender)

    def _start(
        self,
        target: TargetState,
        hop: Hop,
    ) -> contextlib.AbstractAsyncContextManager[TargetResponse]:
        document = {**self._job.document, 'stream': True}
        if self.cursor.delivered:
            document['resume_after'] = self.cursor.delivered
            document['generated'] = self.cursor.text()
            self._record_resume(target, 'other')
        return self._dependencies.engine.open_stream(
            target.address, hop, document
        )

    def _resume(
        self,
        target: TargetState,
        hop: Hop,
    ) -> contextlib.AbstractAsyncContextManager[TargetResponse]:
        self._record_resume(target, 'same')
        return self._dependencies.engine.resume_stream(
            target.address,
            hop,
            self.cursor.delivered,
        )

    async def _relay(
        self,
        response: TargetResponse,
        sender: '_BlockSender',
    ) -> None:
        chunks = response.iterate_chunks()
        async with contextlib.aclosing(chunks):
            async for chunk in chunks:
                block = self.cursor.feed(chunk)
                if block:
                    await sender.send(block)
                    self.plan.record_progress()
                if self.cursor.failure is not None:
                    raise self.cursor.failure
                if self.cursor.is_complete:
                    await _read_body_end(chunks)
                    return
        raise ConnectionLostError('stream ended before it was complete')

    def _record_resume(self, target: TargetState, where: str) -> None:
        self._dependencies.attempts.metrics.resumes.labels(where).inc()
        emit_event(
            STREAM_RESUMED,
            request=self._job.facts.request_id,
            target=target.name,
            where=where,
            after=self.cursor.delivered,
        )

    def _record_disconnect(
        self, target: TargetState, error: TargetError
    ) -> None:
        self.cursor.finish_connection()
        timed_out = isinstance(error, IdleTimeoutError)
        emit_event(
            TARGET_UNRESPONSIVE if timed_out else TARGET_CONNECTION_LOST,
            request=self._job.facts.request_id,
            target=target.name,
            error=error.code,
        )


class _BlockSender:
    """Send blocks to the caller and record the time of the first."""

    def __init__(self, deliver: Deliver, timer: AttemptTimer) -> None:
        self._deliver = deliver
        self._timer = timer

    async def send(self, block: bytes) -> None:
        """Send a block of events."""
        self._timer.record_first_byte()
        await self._deliver(block)


def _excludes_running_stream(error: TargetError) -> bool:
    """Return whether an error excludes that the engine runs the stream."""
    return isinstance(
        error,
        (*_NOT_RESUMABLE_ON_TARGET, TargetRejectedError),
    )


async def _read_body_end(chunks: AsyncIterator[bytes]) -> None:
    with (
        anyio.move_on_after(_BODY_END_TIMEOUT_S),
        contextlib.suppress(TargetError, StopAsyncIteration),
    ):
        while True:
            await anext(chunks)
