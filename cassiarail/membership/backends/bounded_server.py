"""Bound what the clients of a gRPC server make it keep and do.

grpclib reads a message of any announced length, parses all that it has received
in one turn of the event loop, and has no limit of connections.
"""

import asyncio
import collections
from collections.abc import Callable, Collection
from typing import Any, cast

from grpclib.config import Configuration
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.protocol import EventsProcessor, H2Protocol, Stream
from grpclib.server import Server
from h2.errors import ErrorCodes
from h2.events import RequestReceived

from cassiarail.conf.global_defaults import (
    PEER_CONNECTIONS_MAX,
    PEER_MEMORY_BYTES,
    PEER_MESSAGE_MAX_BYTES,
    PEER_STREAMS_MAX,
)
from cassiarail.limits.byte_budget import ByteBudget

# The smallest windows of grpclib: what a stream and a connection may send
# ahead of the handlers.
_WINDOW_BYTES = 65_535
# The smallest frame has nine bytes, so that a few hundred are parsed in a turn.
_SLICE_BYTES = 4096


class PeerConnections:
    """Hold the connections of a server, the longest silent one first."""

    def __init__(self, max_connections: int = PEER_CONNECTIONS_MAX) -> None:
        self.memory = ByteBudget(PEER_MEMORY_BYTES)
        self.limit_counts: collections.Counter[str] = collections.Counter()
        self._max_connections = max_connections
        self._open: dict[BoundedProtocol, None] = {}

    def add(self, connection: 'BoundedProtocol') -> None:
        """Register a connection, and close the most silent at the limit."""
        self._open[connection] = None
        if len(self._open) > self._max_connections:
            self.limit_counts['connections'] += 1
            next(iter(self._open)).tcp.abort()

    def record_use(self, connection: 'BoundedProtocol') -> None:
        """Record that a connection has received bytes."""
        if connection in self._open:
            self._open.pop(connection)
            self._open[connection] = None

    def remove(self, connection: 'BoundedProtocol') -> None:
        """Unregister a closed connection."""
        self._open.pop(connection, None)


class BoundedStream:
    """Read the messages of a stream within the memory of the server."""

    def __init__(
        self,
        stream: Stream,
        connections: PeerConnections,
        abort: Callable[[], None],
    ) -> None:
        """Call ``abort`` if other messages need the memory."""
        self._receive = stream.recv_data
        self._connections = connections
        self._abort = abort

    async def receive_data(self, size: int) -> bytes:
        """Return ``size`` bytes, of which all are reserved beforehand.

        Raises ``GRPCError`` if there is no room for them.
        """
        if size > PEER_MESSAGE_MAX_BYTES:
            self._connections.limit_counts['message'] += 1
            raise GRPCError(Status.RESOURCE_EXHAUSTED, 'message is too large')
        memory = self._connections.memory.open(self._abort, self._abort)
        try:
            if not memory.hold(size):
                raise GRPCError(Status.RESOURCE_EXHAUSTED, 'no memory is left')
            received: bytes = await self._receive(size)
            return received
        finally:
            memory.release()


class BoundedEvents(EventsProcessor):
    """Read the messages of all streams of a connection within bounds."""

    def __init__(
        self, protocol: 'BoundedProtocol', connections: PeerConnections
    ) -> None:
        super().__init__(protocol.handler, protocol.connection)
        self._abort = protocol.tcp.abort
        self._connections = connections

    def process_request_received(self, event: RequestReceived) -> None:
        """Start a call, or refuse it above the limit of a connection."""
        if len(self.streams) < PEER_STREAMS_MAX:
            super().process_request_received(event)
            return
        self._connections.limit_counts['streams'] += 1
        refused = self.connection.create_stream(stream_id=event.stream_id)
        refused.reset_nowait(ErrorCodes.REFUSED_STREAM)

    def register(self, stream: Stream) -> Callable[[], None]:
        """Add a stream that its client has opened."""
        bounded = BoundedStream(stream, self._connections, self._abort)
        setattr(stream, 'recv_data', bounded.receive_data)  # noqa: B010
        release: Callable[[], None] = super().register(stream)
        return release


class BoundedProtocol(H2Protocol):
    """Stop reading while the client doesn't read, or has sent much.

    Pings and settings are confirmed at once, so that a client that sends them
    without end and reads nothing would use up the memory.
    """

    tcp: asyncio.Transport

    def __init__(self, connections: PeerConnections, *arguments: Any) -> None:
        super().__init__(*arguments)
        self._connections = connections
        self._received = b''
        self._is_blocked = False
        self._is_paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start receiving from a transport."""
        self.tcp = cast(asyncio.Transport, transport)
        super().connection_made(transport)
        self.processor = BoundedEvents(self, self._connections)
        self._connections.add(self)

    def data_received(self, data: bytes) -> None:  # noqa: WPS110
        """Parse a bounded part in this turn of the loop, and the rest later."""
        self._connections.record_use(self)
        is_waiting = bool(self._received)
        self._received += data
        if not is_waiting:
            self._parse()

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the calls of the connection."""
        self._received = b''
        self._connections.remove(self)
        super().connection_lost(exc)

    def pause_writing(self) -> None:
        """Leave what the client sends to the kernel."""
        super().pause_writing()
        self._is_blocked = True
        self._pause_reading()

    def resume_writing(self) -> None:
        """Go on receiving."""
        super().resume_writing()
        self._is_blocked = False
        if not self._received:
            self._resume_reading()

    def _parse(self) -> None:
        part = self._received[:_SLICE_BYTES]
        self._received = self._received[_SLICE_BYTES:]
        if part:
            H2Protocol.data_received(self, part)
        if self._received:
            self._pause_reading()
            asyncio.get_running_loop().call_soon(self._parse)
        elif not self._is_blocked:
            self._resume_reading()

    def _pause_reading(self) -> None:
        if not self._is_paused:
            self._is_paused = True
            self.tcp.pause_reading()

    def _resume_reading(self) -> None:
        if self._is_paused and not self.tcp.is_closing():
            self._is_paused = False
            self.tcp.resume_reading()


class BoundedServer(Server):
    """Serve gRPC by bounded connections."""

    def __init__(self, handlers: Collection[Any], **options: Any) -> None:
        super().__init__(
            handlers,
            config=Configuration(
                http2_connection_window_size=_WINDOW_BYTES,
                http2_stream_window_size=_WINDOW_BYTES,
            ),
            **options,
        )
        self.connections = PeerConnections()

    def _protocol_factory(self) -> H2Protocol:
        protocol = super()._protocol_factory()
        return BoundedProtocol(
            self.connections,
            protocol.handler,
            protocol.config,
            protocol.h2_config,
        )
