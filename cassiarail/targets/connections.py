"""Hold the connections to targets and map their failures to verdicts."""

import contextlib
from collections.abc import AsyncGenerator, AsyncIterator, Awaitable, Callable
from typing import NamedTuple, TypeVar

import httpx

from cassiarail.core.exceptions import (
    ConnectFailedError,
    ConnectionLostError,
    IdleTimeoutError,
    TargetError,
)
from cassiarail.targets.exceptions import ResponseTooLargeError

TransportFactory = Callable[[str], httpx.AsyncBaseTransport]
_Returned = TypeVar('_Returned')
# These are raised before a byte of the request can have left.
_BEFORE_SENDING = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
    httpx.UnsupportedProtocol,
)


class Timeouts(NamedTuple):
    """Bound the phases of an exchange, in seconds.

    ``read_s`` bounds the silence between two chunks, not the whole answer.
    """

    connect_s: float
    read_s: float

    def as_extension(self) -> dict[str, float]:
        """Return the request extension that httpx transports read."""
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
    """Give the status, the headers and the chunks of an answer."""

    def __init__(self, response: httpx.Response) -> None:
        self._response = response
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
        """Return the whole body, of at most ``limit`` bytes."""
        chunks = []
        size = 0
        async for chunk in self.iterate_chunks():
            size += len(chunk)
            if size > limit:
                raise ResponseTooLargeError(f'answer is above {limit} bytes')
            chunks.append(chunk)
        return b''.join(chunks)


class ConnectionPools:
    """Keep one transport, so one pool of connections, per target address.

    A transport whose connection went silent is retired: exchanges on it go
    on, new ones use a new transport, and the last user closes it.
    """

    def __init__(self, factory: TransportFactory) -> None:
        self._factory = factory
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
        """Send a request and hold its answer open.

        ``fresh`` uses a connection that carried nothing before. Raises
        ``TargetError`` subclasses whose verdict tells whether bytes may have
        reached the target.
        """
        pooled = self._take(address, fresh=fresh)
        pooled.users += 1
        try:
            async with _open_answer(pooled.transport, request) as answer:
                yield answer
        except IdleTimeoutError:
            self._retire(address, pooled)
            raise
        finally:
            pooled.users -= 1
            await self._close_unused(pooled)

    def forget(self, addresses: set[str]) -> list[PooledTransport]:
        """Retire the transports of all addresses but the given ones."""
        gone = {
            address: pooled
            for address, pooled in self._current.items()
            if address not in addresses
        }
        for address, transport in gone.items():
            self._retire(address, transport)
        return list(gone.values())

    async def close_idle(self, addresses: set[str]) -> None:
        """Close the transports of addresses that left the deployment."""
        for pooled in self.forget(addresses):
            await self._close_unused(pooled)

    async def aclose(self) -> None:
        """Close all connections."""
        for pooled in tuple(self._current.values()):
            await pooled.transport.aclose()
        self._current.clear()

    def _take(self, address: str, *, fresh: bool) -> PooledTransport:
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
    """Return the error of ours with the verdict that a failure permits."""
    summary = str(error) or type(error).__name__
    if isinstance(error, _BEFORE_SENDING):
        return ConnectFailedError(summary)
    if isinstance(error, httpx.TimeoutException):
        return IdleTimeoutError(summary)
    return ConnectionLostError(summary)


def build_url(address: str, path: str) -> str:
    """Return the URL of a path at an address, plain HTTP unless it says so."""
    base = address if '://' in address else f'http://{address}'
    return f'{base}{path}'


@contextlib.asynccontextmanager
async def _open_answer(
    transport: httpx.AsyncBaseTransport,
    request: httpx.Request,
) -> AsyncIterator[TargetResponse]:
    response = await _mapped(transport.handle_async_request(request))
    try:
        yield TargetResponse(response)
    finally:
        with contextlib.suppress(httpx.HTTPError):
            await response.aclose()


async def _mapped(pending: Awaitable[_Returned]) -> _Returned:
    try:
        return await pending
    except httpx.HTTPError as error:
        raise map_transport_error(error) from error
