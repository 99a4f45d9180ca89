"""Send a request to one target and relay its response."""

import asyncio
import http
from collections.abc import Coroutine
from typing import Any, TypeVar

from cassiarail.core.exceptions import ConnectFailedError, ConnectionLostError
from cassiarail.edge.crashes.observer import CrashObserver
from cassiarail.edge.dialect import AttemptParameters, Dialect, ResponseFacts
from cassiarail.edge.registry.availability import TargetAvailability
from cassiarail.edge.registry.targets import Target
from cassiarail.edge.requests.abandoned import AbandonedAttempts
from cassiarail.edge.requests.attempt_rules import AttemptRules
from cassiarail.edge.requests.event_stream import StreamProgress
from cassiarail.edge.requests.evidence import ReceivedHead, collect_evidence
from cassiarail.edge.requests.jobs import (
    AttemptResult,
    BufferedResponse,
    Job,
    Outcome,
    Transmission,
)
from cassiarail.edge.requests.matching import (
    SUCCESS_STATUSES,
    ResponseMatcher,
)
from cassiarail.edge.requests.stream_heads import (
    begin_stream,
    has_known_length,
    is_event_stream,
    split_chunk,
)
from cassiarail.edge.requests.target_loads import TargetLoads
from cassiarail.edge.requests.timeline import Wait
from cassiarail.http1.connections import ClientConnection
from cassiarail.http1.messages import (
    Headers,
    ResponseHead,
    find_header,
    read_keep_alive,
    strip_hop_headers,
)
from cassiarail.http1.pool import ConnectionPool
from cassiarail.limits.byte_budget import ByteBudget
from cassiarail.routing.reachability import ReachabilityTracker

_ReadResult = TypeVar('_ReadResult')
_MAX_RESPONSE_BYTES = 8_388_608
# The body of a failure explains it; nothing that callers store is longer.
_MAX_FAILURE_BYTES = 262_144
# Callers read these statuses as a guarantee that the request has not run and
# never will.
_NOT_RUN_STATUSES = frozenset(
    (
        http.HTTPStatus.REQUEST_TIMEOUT,
        http.HTTPStatus.MISDIRECTED_REQUEST,
        http.HTTPStatus.TOO_MANY_REQUESTS,
        http.HTTPStatus.SERVICE_UNAVAILABLE,
    ),
)
_HEAD_METHOD = b'HEAD'
# The body of a refusal is read to keep the connection, but not for longer.
_REFUSAL_BODY_S = 0.1


class AttemptRunner:
    """Run attempts over pooled connections."""

    def __init__(
        self,
        pool: ConnectionPool,
        dialect: Dialect,
        loads: TargetLoads,
        reachability: ReachabilityTracker,
        availability: TargetAvailability,
        observer: CrashObserver,
        memory: ByteBudget,
        rules: AttemptRules | None = None,
    ) -> None:
        """Check the availability again right before a request is sent.

        ``memory`` limits the responses that are kept until they are complete.
        """
        self._memory = memory
        self._observer = observer
        self._availability = availability
        self._pool = pool
        self._dialect = dialect
        self._loads = loads
        self._reachability = reachability
        self._rules = rules or AttemptRules()
        self._abandoned = AbandonedAttempts(pool, dialect)

    async def run(self, job: Job, target: Target) -> AttemptResult:
        """Make one attempt; deliver a successful response to the caller.

        Raises ``CancelledError`` when the caller disconnects or the request
        times out.
        """
        with self._loads.track(job, target):
            return await self._run(job, target)

    async def _run(self, job: Job, target: Target) -> AttemptResult:
        job.timeline.waits_for = Wait.CONNECTION
        try:
            connection = await self._pool.acquire(
                target.address, self._find_max_idle_s(job, target)
            )
        except ConnectFailedError as error:
            self._reachability.record_connect_failure(target.identity)
            return AttemptResult(Outcome.NOT_RUN, error.message)
        if not self._availability.may_send(target):
            self._pool.release(connection)
            return AttemptResult(
                Outcome.NOT_RUN, 'target is leaving or wants a pause'
            )
        job.begin_attempt()
        self._reachability.begin(target.identity)
        try:
            attempt_result = await self._exchange(job, target, connection)
        except ConnectionLostError as error:
            self._pool.discard(connection, error.message)
            self._observer.observe_loss(job, target)
            attempt_result = _record_interruption(
                job, error.message, may_go_on=not connection.is_closed_by_peer
            )
        except asyncio.CancelledError:
            self._abandoned.abandon(job, connection)
            raise
        except BaseException:
            self._pool.discard(connection, 'attempt failed')
            raise
        finally:
            self._reachability.end(target.identity)
        if attempt_result.outcome is Outcome.SUCCEEDED:
            return attempt_result
        return attempt_result._replace(
            evidence=collect_evidence(connection, job.newest.received_head)
        )

    def _find_max_idle_s(self, job: Job, target: Target) -> float | None:
        """Return for how long a reused connection may have been idle.

        A response names its request, not the attempt. On a new connection it
        can't be a copy of the one to an earlier attempt at the same address.
        """
        if any(
            tried.address == target.address
            for tried in job.tried_targets
            if tried is not target
        ):
            return 0
        return None if job.route.may_repeat else self._rules.fresh_idle_s

    async def _exchange(
        self,
        job: Job,
        target: Target,
        connection: ClientConnection,
    ) -> AttemptResult:
        loop = asyncio.get_running_loop()
        attempt = AttemptParameters(
            instance=target.instance,
            time_left_s=job.deadline - loop.time(),
            rank=job.rank if job.route.is_stream else None,
            resume_after=job.splitter.last_id if job.splitter else None,
            account=job.account_name,
        )
        head = self._dialect.encode_attempt(job.exchange.head, attempt)
        job.newest = Transmission(loop.time())
        job.timeline.record_sending(job.newest.sent_at)
        connection.send(head, job.exchange.body)
        job.timeline.waits_for = Wait.HEAD
        response, facts = await self._read_head(job, connection)
        job.newest.received_head = ReceivedHead(response.status, facts)
        job.newest.active_at = loop.time()
        job.timeline.waits_for = Wait.BODY
        self._availability.record_response(target, facts)
        self._reachability.record_activity(target.identity)
        connection.keep_alive_s = read_keep_alive(response.headers)
        if facts.load is not None:
            self._loads.record_report(target, facts.load, loop.time())
        if facts.did_not_run:
            job.confirm_not_run()
            await self._discard_refusal(connection)
            return AttemptResult(Outcome.NOT_RUN, f'status {response.status}')
        if response.status not in SUCCESS_STATUSES:
            return await self._read_failure(job, connection, response)
        if not (facts.is_signed and facts.is_unencoded):
            raise ConnectionLostError('response is unsigned or encoded')
        if job.route.is_stream:
            return await self._relay_stream(job, target, connection, response)
        return await self._relay_response(job, connection, response)

    async def _discard_refusal(self, connection: ClientConnection) -> None:
        """Read the body of a refusal, or give up the connection."""
        try:
            async with asyncio.timeout(_REFUSAL_BODY_S):
                await connection.discard_body()
        except (TimeoutError, ConnectionLostError):
            self._pool.discard(connection, 'refusal has no complete body')
            return
        self._pool.release(connection)

    async def _read_head(
        self,
        job: Job,
        connection: ClientConnection,
    ) -> tuple[ResponseHead, ResponseFacts]:
        matcher = ResponseMatcher(
            self._dialect, job.request.request_id, connection
        )
        head = await self._wait_for_target(
            job,
            connection.read_head(matcher),
            self._compute_head_timeout_s(job),
        )
        return head, matcher.facts

    async def _wait_for_target(
        self,
        job: Job,
        read: Coroutine[Any, Any, _ReadResult],
        timeout_s: float | None,
        elapsed_s: float = 0,
    ) -> _ReadResult:
        """Read from a target until it times out and another one can be used.

        ``elapsed_s`` is the part of the first timeout that has passed already.
        """
        if timeout_s is None:
            return await read
        reading = asyncio.ensure_future(read)
        wait_s = max(0, timeout_s - elapsed_s)
        try:
            while True:
                done, _pending = await asyncio.wait([reading], timeout=wait_s)
                if done:
                    return reading.result()
                wait_s = timeout_s
                if await job.try_switch(reading):
                    job.newest.is_given_up = True
                    raise ConnectionLostError('target sent nothing in time')
        finally:
            reading.cancel()

    def _compute_head_timeout_s(self, job: Job) -> float | None:
        """Return the time after which another target is tried, if any."""
        if not _may_run_again(job):
            return None
        return max(
            self._rules.first_response_s,
            self._rules.objective_factor * job.route.objective_s,
        )

    async def _read_failure(
        self,
        job: Job,
        connection: ClientConnection,
        head: ResponseHead,
    ) -> AttemptResult:
        response = await self._read_response(
            job, connection, head, _MAX_FAILURE_BYTES
        )
        reason = f'status {head.status}'
        if head.status in _NOT_RUN_STATUSES:
            # Callers read these statuses as a guarantee that nothing ran, but
            # this target's response does not state it.
            return AttemptResult(Outcome.UNKNOWN, reason)
        return AttemptResult(Outcome.FAILED, reason, response)

    async def _relay_response(
        self,
        job: Job,
        connection: ClientConnection,
        head: ResponseHead,
    ) -> AttemptResult:
        response = await self._read_response(job, connection, head)
        self._observer.record_answer(job.shared_parts)
        job.timeline.record_response(asyncio.get_running_loop().time())
        job.exchange.respond(*response)
        return AttemptResult(Outcome.SUCCEEDED, f'status {head.status}')

    async def _read_response(
        self,
        job: Job,
        connection: ClientConnection,
        head: ResponseHead,
        max_bytes: int = _MAX_RESPONSE_BYTES,
    ) -> BufferedResponse:
        reservation = self._memory.open(
            job.tried_targets[-1].identity,
            lambda: connection.abort('no memory is left for the response'),
        )
        job.reservations.append(reservation)
        try:
            body = await connection.read_body(max_bytes, reservation)
        except ConnectionLostError:
            reservation.release()
            raise
        reservation.keep()
        self._pool.release(connection)
        return BufferedResponse(head.status, _select_headers(job, head), body)

    async def _relay_stream(
        self,
        job: Job,
        target: Target,
        connection: ClientConnection,
        head: ResponseHead,
    ) -> AttemptResult:
        if job.response_started and not is_event_stream(head):
            raise ConnectionLostError('the resumed response is no event stream')
        loop = asyncio.get_running_loop()
        progress = StreamProgress(loop.time())
        while True:
            chunk = await self._read_chunk(
                job, connection, loop.time() - progress.last_event_at
            )
            self._reachability.record_activity(target.identity)
            if chunk is None:
                break
            begin_stream(job, head)
            self._record_chunk(job, target)
            progress.record(chunk, job.newest.active_at)
            if job.splitter is not None:
                chunk = split_chunk(job.splitter, chunk)
            if chunk:
                await job.exchange.send_chunk(chunk)
        # The end of a connection is the end of a stream only between events.
        is_whole = progress.has_events and progress.is_between_events
        if not (is_whole or has_known_length(head)):
            raise ConnectionLostError('stream ended within an event')
        begin_stream(job, head)
        self._pool.release(connection)
        self._observer.record_answer(job.shared_parts)
        remainder = job.splitter.flush() if job.splitter else b''
        if remainder:
            await job.exchange.send_chunk(remainder)
        job.exchange.finish_stream()
        return AttemptResult(Outcome.SUCCEEDED, f'status {head.status}')

    def _record_chunk(self, job: Job, target: Target) -> None:
        now = asyncio.get_running_loop().time()
        job.timeline.record_response(now)
        self._observer.observe_chunk(job)
        if job.newest.began_at is None:
            job.newest.began_at = now
            self._loads.record_first_token(job, target, now)
        job.newest.active_at = now

    async def _read_chunk(
        self,
        job: Job,
        connection: ClientConnection,
        since_event_s: float,
    ) -> bytes | None:
        """Read on; a target that sends bytes but no events has stalled."""
        if job.splitter is None or not _may_run_again(job):
            return await connection.read_chunk()
        return await self._wait_for_target(
            job,
            connection.read_chunk(),
            max(
                self._rules.stall_s,
                self._rules.pause_factor * job.route.pause_s,
            ),
            since_event_s,
        )


def _may_run_again(job: Job) -> bool:
    return job.route.may_repeat and job.possible_runs + 1 < job.route.attempts


def _record_interruption(
    job: Job, reason: str, *, may_go_on: bool
) -> AttemptResult:
    if job.response_started and job.splitter is not None:
        job.splitter.discard_partial()
    return AttemptResult(
        Outcome.BROKEN if job.response_started else Outcome.UNKNOWN,
        reason,
        may_go_on=may_go_on,
        is_stalled=job.newest.is_given_up,
    )


def _select_headers(job: Job, head: ResponseHead) -> Headers:
    selected = strip_hop_headers(head.headers)
    if job.exchange.head.method == _HEAD_METHOD:
        length = find_header(head.headers, b'content-length')
        if length is not None:
            selected.append((b'content-length', length.encode()))
    return selected
