"""Implement what all routes for callers have in common."""

import abc
import random
import uuid
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import anyio
from starlette.datastructures import Headers
from starlette.types import Receive, Scope, Send

from cassiarail.core.clock import Clock
from cassiarail.core.deadline import TIMEOUT_HEADER, Deadline
from cassiarail.core.events import emit_event
from cassiarail.core.exceptions import CassiarailError
from cassiarail.core.verdict import Verdict, combine_verdicts
from cassiarail.declarations.schema import CallerDocument
from cassiarail.gateway.bodies import read_body
from cassiarail.gateway.directory import Directory, DirectorySource
from cassiarail.gateway.drain import RequestRegistry, RunningRequest
from cassiarail.gateway.events import REQUEST_CANCELLED, REQUEST_INTERNAL_ERROR
from cassiarail.gateway.exceptions import (
    CancelledRequestError,
    DeadlineExceededError,
    DrainingError,
    HeadersTooLargeError,
    UnauthenticatedError,
)
from cassiarail.gateway.hooks import Admission
from cassiarail.gateway.metrics import GatewayMetrics
from cassiarail.gateway.requests import parse_timeout
from cassiarail.gateway.responses import ResponseWriter
from cassiarail.gateway.tracing import (
    HopTracer,
    TraceContext,
    read_parent,
    write_headers,
)
from cassiarail.security.keys import parse_bearer
from cassiarail.targets.backends.base import REQUEST_ID_HEADER
from cassiarail.telemetry.draining import DrainExpiredError

_REQUEST_ID_BITS = 128
_REQUEST_ID_VERSION = 4
_RETRY_AFTER_S = 1
_MAX_BODY_BYTES = 4_194_304
_MAX_HEADER_BYTES = 16_384


class GatewayLimits(NamedTuple):
    """Limit the size and time of requests, in bytes and seconds."""

    body_bytes: int = _MAX_BODY_BYTES
    header_bytes: int = _MAX_HEADER_BYTES
    body_time_s: float = 10
    connect_timeout_s: float = 1


class EndpointDependencies(NamedTuple):
    """Hold the objects that all endpoints share."""

    directories: DirectorySource
    requests: RequestRegistry
    admission: Admission
    clock: Clock
    generator: random.Random
    metrics: GatewayMetrics
    tracer: HopTracer
    limits: GatewayLimits


class Call(NamedTuple):
    """Hold the state of one request while it is handled."""

    request_id: str
    scope: Scope
    headers: Headers
    receive: Receive
    writer: ResponseWriter
    running: RunningRequest
    trace: TraceContext
    arrived_at: float


class Endpoint(abc.ABC):
    """Serve one route; every error becomes a response with a verdict."""

    route: str

    def __init__(self, dependencies: EndpointDependencies) -> None:
        self.dependencies = dependencies

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Serve one request as an ASGI application."""
        dependencies = self.dependencies
        request_id = create_request_id(dependencies.generator)
        headers = Headers(scope=scope)
        with (
            dependencies.requests.track(request_id) as running,
            dependencies.metrics.in_progress.track_inprogress(),
            dependencies.tracer.span(
                'cassiarail.gateway.request',
                read_parent(headers),
                route=self.route,
                request_id=request_id,
            ) as context,
        ):
            writer = ResponseWriter(
                send,
                [
                    (REQUEST_ID_HEADER, request_id),
                    *write_headers(context).items(),
                ],
                close=dependencies.requests.is_draining,
            )
            await self._respond(
                Call(
                    request_id=request_id,
                    scope=scope,
                    headers=headers,
                    receive=receive,
                    writer=writer,
                    running=running,
                    trace=context,
                    arrived_at=dependencies.clock.monotonic(),
                ),
            )
            dependencies.metrics.requests.labels(
                self.route,
                writer.code,
                writer.verdict.value,
            ).inc()

    @abc.abstractmethod
    async def serve(self, call: Call) -> None:
        """Send the response, or raise the error to send instead."""

    async def read_body(self, call: Call) -> bytes:
        """Return the body within the limits of the gateway."""
        limits = self.dependencies.limits
        return await read_body(
            call.headers,
            call.receive,
            limits.body_bytes,
            limits.body_time_s,
        )

    def authenticate(self, call: Call) -> tuple[CallerDocument, Directory]:
        """Return the caller and the current declarations.

        Raises ``UnauthenticatedError``.
        """
        directory = self.dependencies.directories.current()
        key = parse_bearer(call.headers.get('authorization'))
        if key is None:
            raise UnauthenticatedError('the request has no key')
        caller = directory.key_ring.find_owner(key)
        if caller is None:
            raise UnauthenticatedError('the key is unknown')
        return caller, directory

    def read_deadline(self, call: Call, default_s: float) -> Deadline:
        """Return the deadline from the timeout header, or the default."""
        requested_s = parse_timeout(call.headers.get(TIMEOUT_HEADER))
        seconds = default_s if requested_s is None else requested_s
        return Deadline(call.arrived_at + seconds)

    async def _respond(self, call: Call) -> None:
        try:
            await self._check_and_serve(call)
        except CassiarailError as error:
            await _send_error(call, error)
        except Exception as error:
            emit_event(
                REQUEST_INTERNAL_ERROR,
                request=call.request_id,
                error=repr(error),
            )
            # Whether an attempt ran before the error is unknown here.
            await _send_error(
                call,
                CassiarailError(
                    'internal error of the gateway',
                    verdict=Verdict.MAY_HAVE_RUN,
                ),
            )

    async def _check_and_serve(self, call: Call) -> None:
        if self.dependencies.requests.is_draining:
            raise DrainingError(
                'the gateway is shutting down',
                retry_after_s=_RETRY_AFTER_S,
            )
        size = sum(len(name) + len(text) for name, text in call.headers.raw)
        if size > self.dependencies.limits.header_bytes:
            raise HeadersTooLargeError(
                'headers are above'
                f' {self.dependencies.limits.header_bytes} bytes',
            )
        await self.serve(call)


async def run_cancellable(
    call: Call,
    deadline: Deadline,
    clock: Clock,
    work: Callable[[], Awaitable[None]],
    verdict: Callable[[], Verdict],
) -> None:
    """Run work until it ends, is cancelled or its deadline passes.

    Raises ``CancelledRequestError`` or ``DeadlineExceededError`` with the
    verdict so far. Returns without a response if the caller disconnected.
    """
    failure: CassiarailError | None = None
    scope = call.running.scope
    time_limit = anyio.move_on_after(deadline.remaining(clock))
    async with anyio.create_task_group() as group:
        group.start_soon(_wait_for_disconnect, call)
        with time_limit, scope:
            try:
                await work()
            except CassiarailError as error:
                failure = error
        group.cancel_scope.cancel()
    if failure is not None:
        # The last attempt may not have run although an earlier one may have.
        failure.verdict = combine_verdicts((failure.verdict, verdict()))
        raise failure
    if time_limit.cancelled_caught:
        raise DeadlineExceededError('deadline exceeded', verdict=verdict())
    if scope.cancelled_caught:
        _finish_cancelled(call, verdict())


def create_request_id(generator: random.Random) -> str:
    """Return a new request id.

    Ids from callers are never used, because engines look up streams by id and
    two callers could send the same one.
    """
    bits = generator.getrandbits(_REQUEST_ID_BITS)
    return str(uuid.UUID(int=bits, version=_REQUEST_ID_VERSION))


def _finish_cancelled(call: Call, verdict: Verdict) -> None:
    emit_event(
        REQUEST_CANCELLED,
        request=call.request_id,
        left=call.running.is_disconnected,
    )
    if call.running.is_cancelled:
        raise CancelledRequestError(
            'the caller cancelled the request',
            verdict=verdict,
        )
    if call.running.is_expired:
        raise _build_expiry_error(verdict)
    call.writer.code = 'caller_left'
    call.writer.verdict = verdict


def _build_expiry_error(verdict: Verdict) -> CassiarailError:
    if verdict is Verdict.NOT_RUN:
        return DrainingError(
            'the gateway is shutting down', retry_after_s=_RETRY_AFTER_S
        )
    return DrainExpiredError(
        'the gateway stopped before the response was complete',
        verdict=verdict,
    )


async def _wait_for_disconnect(call: Call) -> None:
    while True:
        message = await call.receive()
        if message['type'] == 'http.disconnect':
            call.running.abandon()
            return


async def _send_error(call: Call, error: CassiarailError) -> None:
    try:
        await call.writer.send_error(error)
    except OSError:
        call.writer.code = 'caller_left'
