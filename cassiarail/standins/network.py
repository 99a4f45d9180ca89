"""Connect HTTP clients to ASGI applications within one process.

The network replaces TCP in tests and randomised runs. It produces the failures
of a real network: refused connections, partitions, latency, connections that
break when a process dies, and open connections that go silent while new ones
work. On a virtual-time event loop a run is exactly reproducible.
"""

import collections
import itertools
from collections.abc import AsyncIterator, Awaitable, Callable, MutableMapping
from typing import Any

import anyio
import httpx
from anyio.abc import TaskGroup
from anyio.streams.memory import (
    MemoryObjectReceiveStream,
    MemoryObjectSendStream,
)

AsgiMessage = MutableMapping[str, Any]
AsgiApplication = Callable[
    [
        AsgiMessage,
        Callable[[], Awaitable[AsgiMessage]],
        Callable[[AsgiMessage], Awaitable[None]],
    ],
    Awaitable[None],
]
_BUFFERED_MESSAGES = 64
_HTTP_PORT = 80


class Connection:
    """Represent one TCP connection between a client and an address."""

    def __init__(self, source: str, address: str) -> None:
        self.source = source
        self.address = address
        self.silent = False


class Network:
    """Connect clients to the ASGI applications at addresses."""

    def __init__(self, task_group: TaskGroup) -> None:
        """Create a network whose requests run in a task group."""
        self._task_group = task_group
        self._listeners: dict[str, AsgiApplication] = {}
        self._scopes: dict[str, set[anyio.CancelScope]] = {}
        self._blocked: set[tuple[str, str]] = set()
        self._groups: dict[str, str] = {}
        self._connections: set[Connection] = set()
        self.latency_s = float(0)
        self.bytes_sent: collections.Counter[str] = collections.Counter()

    def listen(self, address: str, application: AsgiApplication) -> None:
        """Serve an application at an address such as ``10.0.0.1:80``."""
        self._listeners[address] = application
        self._scopes.setdefault(address, set())

    def kill(self, address: str) -> None:
        """Kill the process at an address; break its connections immediately."""
        self._listeners.pop(address, None)
        for scope in tuple(self._scopes.get(address, ())):
            scope.cancel()
        for connection in tuple(self._connections):
            if connection.address == address:
                self._connections.discard(connection)

    def join_group(self, address: str, group: str) -> None:
        """Put an address or a client into a partition group."""
        self._groups[address] = group

    def block(self, first: str, second: str) -> None:
        """Drop all traffic between two partition groups."""
        self._blocked.update(((first, second), (second, first)))

    def heal(self) -> None:
        """End all partitions; silent connections stay silent."""
        self._blocked.clear()

    def silence(self, address: str) -> int:
        """Make all open connections to an address permanently silent.

        Returns the number of connections; new connections work.
        """
        silenced = [
            connection
            for connection in self._connections
            if connection.address == address
        ]
        for connection in silenced:
            connection.silent = True
        return len(silenced)

    def can_reach(self, source: str, address: str) -> bool:
        """Return whether no partition separates a client from an address."""
        pair = (
            self._groups.get(source, ''),
            self._groups.get(address, ''),
        )
        return pair not in self._blocked

    def is_listening(self, address: str) -> bool:
        """Return whether a process serves the address."""
        return address in self._listeners

    def open(self, source: str, address: str) -> Connection:
        """Open a connection to a listening address."""
        connection = Connection(source, address)
        self._connections.add(connection)
        return connection

    def close(self, connection: Connection) -> None:
        """Close a connection."""
        self._connections.discard(connection)

    def is_open(self, connection: Connection) -> bool:
        """Return whether the connection is open."""
        return connection in self._connections

    def drops_traffic(self, connection: Connection) -> bool:
        """Return whether bytes on the connection are currently dropped."""
        return connection.silent or not self.can_reach(
            connection.source,
            connection.address,
        )

    def start_exchange(
        self,
        connection: Connection,
        request: httpx.Request,
        body: bytes,
    ) -> 'Exchange':
        """Start a request to the application at the connection's address."""
        exchange = Exchange(self, connection, request, body)
        self._task_group.start_soon(
            exchange.serve,
            self._listeners[connection.address],
            self._scopes[connection.address],
        )
        return exchange


class Exchange:
    """Run one request and deliver its response."""

    def __init__(
        self,
        network: Network,
        connection: Connection,
        request: httpx.Request,
        body: bytes,
    ) -> None:
        self.network = network
        self.connection = connection
        self._request = request
        self._body: bytes | None = body
        self._client_disconnected = anyio.Event()
        sender, receiver = anyio.create_memory_object_stream[AsgiMessage](
            _BUFFERED_MESSAGES,
        )
        self._send: MemoryObjectSendStream[AsgiMessage] = sender
        self.received: MemoryObjectReceiveStream[AsgiMessage] = receiver
        self.complete = False

    def disconnect(self) -> None:
        """Notify the application that the client has disconnected."""
        if not self.network.drops_traffic(self.connection):
            self._client_disconnected.set()
        self.received.close()

    async def serve(
        self,
        application: AsgiApplication,
        scopes: set[anyio.CancelScope],
    ) -> None:
        """Run the application until it has responded or is killed."""
        with anyio.CancelScope() as scope, self._send:
            scopes.add(scope)
            try:
                await application(
                    self._build_scope(),
                    self._receive,
                    self._deliver,
                )
            except Exception:
                # A crashed handler breaks the connection, as a server would.
                self.network.close(self.connection)
            finally:
                scopes.discard(scope)

    def _build_scope(self) -> AsgiMessage:
        url = self._request.url
        return {
            'type': 'http',
            'asgi': {'version': '3.0'},
            'http_version': '1.1',
            'method': self._request.method,
            'scheme': url.scheme,
            'path': url.path,
            'raw_path': url.raw_path.split(b'?')[0],
            'query_string': url.query,
            'root_path': '',
            'headers': [
                (name.lower(), text) for name, text in self._request.headers.raw
            ],
            'client': (self.connection.source, 0),
            'server': (url.host, url.port or _HTTP_PORT),
        }

    async def _receive(self) -> AsgiMessage:
        if self._body is not None:
            body = self._body
            self._body = None
            return {'type': 'http.request', 'body': body, 'more_body': False}
        await self._client_disconnected.wait()
        return {'type': 'http.disconnect'}

    async def _deliver(self, message: AsgiMessage) -> None:
        if self.network.latency_s:
            await anyio.sleep(self.network.latency_s)
        if self.network.drops_traffic(self.connection):
            return
        self.network.bytes_sent[self.connection.address] += len(
            message.get('body', b''),
        )
        if message['type'] == 'http.response.body':
            self.complete = not message.get('more_body', False)
        try:
            await self._send.send(message)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            self._client_disconnected.set()


class _ResponseStream(httpx.AsyncByteStream):
    """Read the body of a response from an exchange."""

    def __init__(
        self,
        transport: 'MemoryTransport',
        exchange: Exchange,
        read_timeout_s: float | None,
    ) -> None:
        self._transport = transport
        self._exchange = exchange
        self._read_timeout_s = read_timeout_s
        self._finished = False

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Yield the chunks of the body."""
        while True:
            message = await read_message(self._exchange, self._read_timeout_s)
            yield message.get('body', b'')
            if not message.get('more_body', False):
                self._finished = True
                return

    async def aclose(self) -> None:
        """Release the connection; close it if the response is incomplete."""
        self._exchange.disconnect()
        self._transport.release(
            self._exchange.connection,
            reusable=self._finished,
        )


class MemoryTransport(httpx.AsyncBaseTransport):
    """Send the requests of one client through the network."""

    def __init__(self, network: Network, source: str) -> None:
        """Create a transport; ``source`` names the client for partitions."""
        self._network = network
        self._source = source
        self._idle: dict[str, list[Connection]] = {}

    async def handle_async_request(
        self,
        request: httpx.Request,
    ) -> httpx.Response:
        """Send one request and return its response with a streamed body."""
        timeouts = request.extensions.get('timeout', {})
        body = await request.aread()
        connection = await self._connect(request, timeouts.get('connect'))
        exchange = await self._send_request(connection, request, body)
        try:
            start = await read_message(exchange, timeouts.get('read'))
        except BaseException:
            exchange.disconnect()
            self.release(connection, reusable=False)
            raise
        return httpx.Response(
            status_code=start['status'],
            headers=start.get('headers', []),
            stream=_ResponseStream(self, exchange, timeouts.get('read')),
        )

    def release(self, connection: Connection, *, reusable: bool) -> None:
        """Retain a connection for the next request, or close it."""
        if reusable and self._network.is_open(connection):
            self._idle.setdefault(connection.address, []).append(connection)
        else:
            self._network.close(connection)

    async def aclose(self) -> None:
        """Close all idle connections."""
        for connection in itertools.chain.from_iterable(self._idle.values()):
            self._network.close(connection)
        self._idle.clear()

    async def _send_request(
        self,
        connection: Connection,
        request: httpx.Request,
        body: bytes,
    ) -> Exchange:
        if self._network.latency_s:
            await anyio.sleep(self._network.latency_s)
        if self._network.drops_traffic(connection):
            # The request is dropped, so no response will arrive.
            return Exchange(self._network, connection, request, body)
        if not self._network.is_listening(connection.address):
            self._network.close(connection)
            raise httpx.ReadError('connection reset', request=request)
        return self._network.start_exchange(connection, request, body)

    async def _connect(
        self,
        request: httpx.Request,
        timeout_s: float | None,
    ) -> Connection:
        address = f'{request.url.host}:{request.url.port or _HTTP_PORT}'
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if self._network.is_open(connection):
                return connection
        if not self._network.can_reach(self._source, address):
            with anyio.move_on_after(timeout_s):
                await anyio.sleep_forever()
            raise httpx.ConnectTimeout('connect timed out', request=request)
        if not self._network.is_listening(address):
            raise httpx.ConnectError('connection refused', request=request)
        return self._network.open(self._source, address)


async def read_message(
    exchange: Exchange,
    timeout_s: float | None,
) -> AsgiMessage:
    """Return the next message of a response.

    Raises ``httpx.ReadTimeout`` if no message arrives in time and
    ``httpx.ReadError`` if the connection breaks.
    """
    try:
        with anyio.fail_after(timeout_s):
            return await exchange.received.receive()
    except TimeoutError as error:
        raise httpx.ReadTimeout('read timed out') from error
    except anyio.EndOfStream as error:
        raise httpx.ReadError('connection broken') from error
