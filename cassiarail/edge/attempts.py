"""Send a request to one target and pass its answer on."""

import asyncio
import http
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple, TypeVar

from cassiarail.core.events import emit_event
from cassiarail.core.exceptions import (
    ConnectFailedError,
    ConnectionLostError,
)
from cassiarail.edge.dialect import AttemptParameters, Dialect, ResponseFacts
from cassiarail.edge.events import UNHEARD_LOST
from cassiarail.edge.jobs import AttemptResult, Job, Outcome, WholeAnswer
from cassiarail.edge.targets import Target
from cassiarail.http1.connections import ClientConnection
from cassiarail.http1.messages import (
    AnswerHead,
    Headers,
    find_header,
    read_keep_alive,
    strip_hop_headers,
)
from cassiarail.http1.pool import ConnectionPool
from cassiarail.routing.earliest import EarliestChoice
from cassiarail.routing.reach import ReachTracker

_Read = TypeVar('_Read')
_MAX_ANSWER_BYTES = 8_388_608
_SUCCESSES = range(http.HTTPStatus.OK, http.HTTPStatus.MULTIPLE_CHOICES)
# Statuses that promise that a request has not run and never will.
_PROMISES = frozenset(
    (
        http.HTTPStatus.REQUEST_TIMEOUT,
        http.HTTPStatus.MISDIRECTED_REQUEST,
        http.HTTPStatus.TOO_MANY_REQUESTS,
        http.HTTPStatus.SERVICE_UNAVAILABLE,
    ),
)
_HEAD = b'HEAD'


class AttemptRules(NamedTuple):
    """Bound waiting; times are seconds.

    A connection that was idle for longer than ``fresh_idle_s`` may have been
    closed by its target, so what must not run twice gets a new one.
    ``first_answer_s`` is the least time that a request that may be repeated
    is given before another target is tried.
    """

    fresh_idle_s: float = 1.0
    first_answer_s: float = 1.2
    objectives_to_wait: float = 2.5
    pauses_to_wait: float = 6.0
    stall_s: float = 1.5


class AttemptRunner:
    """Run attempts over kept connections."""

    def __init__(
        self,
        pool: ConnectionPool,
        dialect: Dialect,
        choice: EarliestChoice,
        reach: ReachTracker,
        may_send: Callable[[Target], bool],
        rules: AttemptRules | None = None,
    ) -> None:
        """Ask ``may_send`` once more right before a request leaves."""
        self._may_send = may_send
        self._pool = pool
        self._dialect = dialect
        self._choice = choice
        self._reach = reach
        self._rules = rules or AttemptRules()
        self._unheard: set[asyncio.Task[None]] = set()

    async def run(self, job: Job, target: Target) -> AttemptResult:
        """Make one attempt; deliver a success to the caller.

        Raises ``CancelledError`` when the caller leaves or its time is up.
        """
        use = self._choice.use_of(target.instance)
        use.own += 1
        try:
            return await self._run(job, target)
        finally:
            use.own -= 1

    async def _run(self, job: Job, target: Target) -> AttemptResult:
        max_idle_s = None
        if not job.route.may_repeat:
            max_idle_s = self._rules.fresh_idle_s
        try:
            connection = await self._pool.acquire(target.address, max_idle_s)
        except ConnectFailedError as error:
            self._reach.fail(target.identity)
            return AttemptResult(Outcome.NOT_RUN, error.message)
        if not self._may_send(target):
            self._pool.release(connection)
            return AttemptResult(Outcome.NOT_RUN, 'target is leaving')
        job.in_flight = True
        self._reach.begin(target.identity)
        try:
            return await self._exchange(job, target, connection)
        except ConnectionLostError as error:
            self._pool.discard(connection, error.message)
            return _lost(job, error.message)
        except asyncio.CancelledError:
            self._leave(job, connection)
            raise
        except BaseException:
            self._pool.discard(connection, 'attempt failed')
            raise
        finally:
            self._reach.end(target.identity)

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
            rank=job.route.rank if job.route.is_stream else None,
            resume_after=job.splitter.last_id if job.splitter else None,
        )
        head = self._dialect.encode_attempt(job.exchange.head, attempt)
        connection.send(head, job.exchange.body)
        answer, facts = await self._read_head(job, connection)
        self._reach.hear(target.identity)
        connection.keep_alive_s = read_keep_alive(answer.headers)
        if facts.load is not None:
            self._choice.use_of(target.instance).take_report(
                facts.load.running + facts.load.waiting,
                loop.time(),
            )
        if facts.did_not_run:
            await connection.read_piece_end()
            self._pool.release(connection)
            job.in_flight = False
            return AttemptResult(Outcome.NOT_RUN, f'status {answer.status}')
        if answer.status not in _SUCCESSES:
            return await self._read_failure(job, connection, answer)
        if not (facts.is_signed and facts.is_unencoded):
            raise ConnectionLostError('answer is not one of the target')
        if job.route.is_stream:
            return await self._pass_stream(job, target, connection, answer)
        return await self._pass_whole(job, connection, answer)

    async def _read_head(
        self,
        job: Job,
        connection: ClientConnection,
    ) -> tuple[AnswerHead, ResponseFacts]:
        request_id = job.request.request_id
        head = await self._wait_for_target(
            job,
            connection.read_head(
                lambda found: self._belongs_to(found, request_id),
            ),
            self._head_patience(job),
        )
        return head, self._dialect.decode_response(head)

    def _belongs_to(self, head: AnswerHead, request_id: str) -> bool:
        """Tell whether an answer is not one to an earlier request."""
        named = self._dialect.decode_response(head).request_id
        if named is None:
            return head.status not in _SUCCESSES
        return named == request_id

    async def _wait_for_target(
        self,
        job: Job,
        work: Coroutine[Any, Any, _Read],
        patience_s: float | None,
    ) -> _Read:
        """Wait for a target, unless it is slow and another could take over."""
        if patience_s is None:
            return await work
        reading = asyncio.ensure_future(work)
        try:
            while True:
                done, _pending = await asyncio.wait(
                    [reading],
                    timeout=patience_s,
                )
                if done:
                    return reading.result()
                if job.may_switch():
                    raise ConnectionLostError('target stood still')
        finally:
            reading.cancel()

    def _head_patience(self, job: Job) -> float | None:
        """Return when another target is tried; ``None`` stands for never."""
        if not _may_run_again(job):
            return None
        return max(
            self._rules.first_answer_s,
            self._rules.objectives_to_wait * job.route.objective_s,
        )

    async def _read_failure(
        self,
        job: Job,
        connection: ClientConnection,
        head: AnswerHead,
    ) -> AttemptResult:
        answer = await self._read_whole(job, connection, head)
        reason = f'status {head.status}'
        if head.status in _PROMISES:
            # Without the target's word the promise would not be ours to give.
            return AttemptResult(Outcome.UNKNOWN, reason)
        return AttemptResult(Outcome.FAILED, reason, answer)

    async def _pass_whole(
        self,
        job: Job,
        connection: ClientConnection,
        head: AnswerHead,
    ) -> AttemptResult:
        answer = await self._read_whole(job, connection, head)
        job.has_begun = True
        job.exchange.answer(*answer)
        return AttemptResult(Outcome.ANSWERED, f'status {head.status}')

    async def _read_whole(
        self,
        job: Job,
        connection: ClientConnection,
        head: AnswerHead,
    ) -> WholeAnswer:
        body = await connection.read_body(_MAX_ANSWER_BYTES)
        self._pool.release(connection)
        job.in_flight = False
        return WholeAnswer(head.status, _keep_headers(job, head), body)

    async def _pass_stream(
        self,
        job: Job,
        target: Target,
        connection: ClientConnection,
        head: AnswerHead,
    ) -> AttemptResult:
        while True:
            piece = await self._read_piece(job, connection)
            self._reach.hear(target.identity)
            if not job.has_begun:
                job.has_begun = True
                job.exchange.begin_stream(
                    head.status,
                    strip_hop_headers(head.headers),
                )
            if piece is None:
                break
            if job.splitter is not None:
                piece = job.splitter.feed(piece)
            if piece:
                await job.exchange.send_piece(piece)
        self._pool.release(connection)
        job.in_flight = False
        if job.splitter is not None:
            rest = job.splitter.take_rest()
            if rest:
                await job.exchange.send_piece(rest)
        job.exchange.finish_stream()
        return AttemptResult(Outcome.ANSWERED, f'status {head.status}')

    async def _read_piece(
        self,
        job: Job,
        connection: ClientConnection,
    ) -> bytes | None:
        if job.splitter is None or not _may_run_again(job):
            return await connection.read_piece()
        return await self._wait_for_target(
            job,
            connection.read_piece(),
            max(
                self._rules.stall_s,
                self._rules.pauses_to_wait * job.route.pause_s,
            ),
        )

    def _leave(self, job: Job, connection: ClientConnection) -> None:
        """End an attempt whose caller has left or ran out of time."""
        if job.route.may_repeat or job.route.is_stream:
            self._pool.discard(connection, 'caller left')
            return
        # What must run once is not torn from its target halfway.
        left_s = max(0, job.deadline - asyncio.get_running_loop().time())
        task = asyncio.create_task(
            self._read_unheard(connection, left_s, job.request.request_id),
        )
        self._unheard.add(task)
        task.add_done_callback(self._unheard.discard)

    async def _read_unheard(
        self,
        connection: ClientConnection,
        left_s: float,
        request_id: str,
    ) -> None:
        try:
            async with asyncio.timeout(left_s):
                await connection.read_head(lambda _head: True)
                await connection.read_piece_end()
        except (TimeoutError, ConnectionLostError) as error:
            emit_event(UNHEARD_LOST, request=request_id, error=repr(error))
            self._pool.discard(connection, 'caller left')
            return
        self._pool.release(connection)


def _may_run_again(job: Job) -> bool:
    return job.route.may_repeat and job.runs + 1 < job.route.attempts


def _lost(job: Job, reason: str) -> AttemptResult:
    job.in_flight = False
    if not job.has_begun:
        return AttemptResult(Outcome.UNKNOWN, reason)
    if job.splitter is not None:
        job.splitter.drop_partial()
    return AttemptResult(Outcome.BROKEN, reason)


def _keep_headers(job: Job, head: AnswerHead) -> Headers:
    kept = strip_hop_headers(head.headers)
    if job.exchange.head.method == _HEAD:
        length = find_header(head.headers, b'content-length')
        if length is not None:
            kept.append((b'content-length', length.encode()))
    return kept
