"""Manage connections to targets and map their failures to verdicts."""

import contextlib
from collections.abc import AsyncGenerator, AsyncIterator, Awaitable, Callable
from typing import NamedTuple, TypeVar

import httpx

from cassiarail.conf.global_defaults import RESPONSE_MEMORY_BYTES
from cassiarail.core.exceptions import (
    ConnectFailedError,
    ConnectionLostError,
    IdleTimeoutError,
    TargetError,
)
from cassiarail.http1.statuses import find_status_problem
from cassiarail.limits.byte_budget import ByteBudget, ByteReservation
from cassiarail.targets.exceptions import ResponseTooLargeError

TransportFactory = Callable[[str], httpx.AsyncBaseTransport]
_Returned = TypeVar('_Returned')
# Errors that are raised before any byte of the request is sent.
_NOT_SENT_ERRORS = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
    httpx.UnsupportedProtocol,
)


class Timeouts(NamedTuple):
    """Timeouts of the phases of an exchange, in seconds.

    ``read_s`` limits the time between two chunks, not the entire response.
    """

    connect_s: float
    read_s: float

    def as_extension(self) -> dict[str, float]:
        """Return the timeouts as an httpx request extension."""
        return {
            'connect': self.connect_s,
            'pool': self.connect_s,
            'read': self.read_s,
            'write': self.read_s,
        }


class PooledTransport:
    """Count the exchanges that use a transport."""

    def __init__(self, transport: httpx.AsyncBaseTransport) -> None:
        self.transport = transport
        self.users = 0
        self.retired = False


class TargetResponse:
    """Provide the status, the headers and the body of a response."""

    def __init__(
        self, response: httpx.Response, reservation: ByteReservation
    ) -> None:
        self._response = response
        self._reservation = reservation
        self.status = response.status_code
        self.headers = response.headers

    async def iterate_chunks(self) -> AsyncGenerator[bytes, None]:
        """Yield the chunks of the body as they arrive.

        Raises ``IdleTimeoutError`` or ``ConnectionLostError``.
        """
        try:
            async for chunk in self._response.stream:  # type: ignore[union-attr]
                yield chunk
        except httpx.HTTPError as error:
            raise map_transport_error(error) from error

    async def read_body(self, limit: int) -> bytes:
        """Return the complete body, at most ``limit`` bytes."""
        chunks = []
        size = 0
        async for chunk in self.iterate_chunks():
            size += len(chunk)
            if size > limit:
                raise ResponseTooLargeError(f'response is above {limit} bytes')
            if not self._reservation.take(len(chunk)):
                raise ResponseTooLargeError(
                    'no memory is left for the response'
                )
            chunks.append(chunk)
        return b''.join(chunks)


class ConnectionPools:
    """Keep one transport, and so one connection pool, per target address.

    A transport is retired after an idle timeout: its exchanges continue, new
    exchanges use a new transport, and its last user closes it.
    """

    def __init__(
        self, factory: TransportFactory, memory: ByteBudget | None = None
    ) -> None:
        """Limit the responses in progress by ``memory``."""
        self._factory = factory
        self._memory = memory or ByteBudget(RESPONSE_MEMORY_BYTES)
        self._current: dict[str, PooledTransport] = {}
        self.retired_count = 0

    @contextlib.asynccontextmanager
    async def exchange(
        self,
        address: str,
        request: httpx.Request,
        *,
        fresh: bool = False,
    ) -> AsyncIterator[TargetResponse]:
        """Send a request and keep its response open.

        ``fresh`` uses a new connection. Raises ``TargetError`` subclasses
        whose verdict states whether bytes may have reached the target.
        """
        pooled = self._acquire(address, fresh=fresh)
        pooled.users += 1
        try:
            async with self._open_response(
                address, pooled.transport, request
            ) as response:
                yield response
        except IdleTimeoutError:
            self._retire(address, pooled)
            raise
        finally:
            pooled.users -= 1
            await self._close_unused(pooled)

    def retire_except(self, addresses: set[str]) -> list[PooledTransport]:
        """Retire the transports of all addresses except the given ones."""
        removed = {
            address: pooled
            for address, pooled in self._current.items()
            if address not in addresses
        }
        for address, transport in removed.items():
            self._retire(address, transport)
        return list(removed.values())

    async def close_except(self, addresses: set[str]) -> None:
        """Retire the transports of all other addresses; close unused ones."""
        for pooled in self.retire_except(addresses):
            await self._close_unused(pooled)

    async def aclose(self) -> None:
        """Close all connections."""
        for pooled in tuple(self._current.values()):
            await pooled.transport.aclose()
        self._current.clear()

    @contextlib.asynccontextmanager
    async def _open_response(
        self,
        address: str,
        transport: httpx.AsyncBaseTransport,
        request: httpx.Request,
    ) -> AsyncIterator[TargetResponse]:
        response = await _map_errors(transport.handle_async_request(request))
        reservation = self._memory.open(address, lambda: None)
        try:
            _require_status(response)
            yield TargetResponse(response, reservation)
        finally:
            reservation.release()
            with contextlib.suppress(httpx.HTTPError):
                await response.aclose()

    def _acquire(self, address: str, *, fresh: bool) -> PooledTransport:
        if fresh:
            pooled = PooledTransport(self._factory(address))
            pooled.retired = True
            return pooled
        if address not in self._current:
            self._current[address] = PooledTransport(self._factory(address))
        return self._current[address]

    def _retire(self, address: str, pooled: PooledTransport) -> None:
        pooled.retired = True
        if self._current.get(address) is pooled:
            self._current.pop(address)
            self.retired_count += 1

    async def _close_unused(self, pooled: PooledTransport) -> None:
        if pooled.retired and not pooled.users:
            await pooled.transport.aclose()


def map_transport_error(error: httpx.HTTPError) -> TargetError:
    """Return the ``TargetError`` with the verdict for a transport error."""
    summary = str(error) or type(error).__name__
    if isinstance(error, _NOT_SENT_ERRORS):
        return ConnectFailedError(summary)
    if isinstance(error, httpx.TimeoutException):
        return IdleTimeoutError(summary)
    return ConnectionLostError(summary)


def build_url(address: str, path: str) -> str:
    """Return the URL of a path; the scheme defaults to plain HTTP."""
    base = address if '://' in address else f'http://{address}'
    return f'{base}{path}'


def _require_status(response: httpx.Response) -> None:
    reason = response.extensions.get('reason_phrase', b'')
    problem = find_status_problem(response.status_code, reason)
    if problem is not None:
        raise ConnectionLostError(problem)


async def _map_errors(pending: Awaitable[_Returned]) -> _Returned:
    try:
        return await pending
    except httpx.HTTPError as error:
        raise map_transport_error(error) from error
