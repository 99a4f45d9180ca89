"""Accept client connections and read their requests."""

import asyncio
import http
from collections.abc import Awaitable, Callable
from typing import cast

import h11

from cassiarail.conf.global_defaults import CALLER_CONNECTIONS_MAX
from cassiarail.core.events import emit_event
from cassiarail.http1.assembly import (
    ClientLimits,
    RequestAssembler,
    UnreadRequestError,
)
from cassiarail.http1.client_memory import (
    ConnectionMemory,
    build_client_memory,
    build_memory_error,
)
from cassiarail.http1.events import HANDLER_FAILED, RESPONSE_MISSING
from cassiarail.http1.exchanges import Exchange, ResponseProgress
from cassiarail.http1.pool import Address
from cassiarail.http1.sockets import enable_dead_peer_detection
from cassiarail.http1.writing import ResponseWriter
from cassiarail.limits.byte_budget import ByteBudget

ExchangeHandler = Callable[[Exchange], Awaitable[None]]
# Maximum buffered bytes of pipelined requests during a response.
_MAX_PIPELINED_BYTES = 65_536
# Clients reuse connections until shortly before the idle limit. Closing later
# than the limit avoids closing while a new request is in flight.
_IDLE_MARGIN_S = 0.5
_BACKLOG = 1024


class ServerConnection(asyncio.Protocol):
    """Read the requests of one client and handle them in order."""

    def __init__(self, listener: 'Http1Listener') -> None:
        self.is_responding = False
        self._listener = listener
        self._limits = listener.limits()
        self._loop = asyncio.get_running_loop()
        self._parser = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=self._limits.head_max_bytes,
        )
        self._transport: asyncio.Transport | None = None
        self._writer = ResponseWriter(self._parser, self._end_response)
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._assembler = RequestAssembler()
        self._pipelined_bytes = 0
        self._is_reading = False
        self._memory = ConnectionMemory(listener.memory)

    @property
    def is_idle(self) -> bool:
        """Return whether no request is in progress and none has begun."""
        transport = self._transport
        is_closing = transport is None or transport.is_closing()
        return not (self.is_responding or self._is_reading or is_closing)

    @property
    def has_unsent_bytes(self) -> bool:
        """Return whether a response waits for the client to read."""
        transport = self._transport
        return transport is not None and bool(transport.get_write_buffer_size())

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start waiting for the first request."""
        self._transport = cast(asyncio.Transport, transport)
        enable_dead_peer_detection(transport)
        self._writer.attach(self._transport)
        self._memory.client = self._writer.peer.rpartition(':')[0]
        self._listener.add(self)
        self._set_timer(self._limits.idle_s + _IDLE_MARGIN_S, self.close)

    def data_received(self, received: bytes) -> None:
        """Parse data, or buffer it until the current response has ended."""
        self._parser.receive_data(received)
        if self.is_responding:
            self._pipelined_bytes += len(received)
            if self._pipelined_bytes > _MAX_PIPELINED_BYTES and self._transport:
                self._transport.pause_reading()
            return
        if not self._is_reading:
            self._expect_request()
        self._read_request()

    def eof_received(self) -> bool:
        """Treat a half-closed connection as a client that disconnected.

        ``close`` would wait until the client has read all buffered bytes.
        """
        if self.is_responding:
            self._cancel_response()
            if self._transport is not None:
                self._transport.abort()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the request of a client that has disconnected."""
        self._memory.release_body()
        self._memory.release_unsent()
        self._cancel_response()
        self._cancel_timer()
        self._listener.remove(self)

    def pause_writing(self) -> None:
        """Block further chunks while the client doesn't read."""
        self._writer.writable.clear()
        if self._transport is not None:
            unsent_bytes = self._transport.get_write_buffer_size()
            self._memory.take_unsent(unsent_bytes, self._transport.abort)

    def resume_writing(self) -> None:
        """Allow further chunks."""
        self._writer.writable.set()
        self._memory.release_unsent()

    def close(self) -> None:
        """Close the connection after all written bytes are sent."""
        if self._transport is not None:
            self._transport.close()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is in progress."""
        if self.is_idle:
            self.close()

    def _expect_request(self) -> None:
        self._is_reading = True
        self._set_timer(self._limits.read_timeout_s, self._reject_slow_request)

    def _read_request(self) -> None:
        while not self.is_responding:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                self._refuse(
                    UnreadRequestError(error.error_status_hint, str(error)),
                )
                return
            if event is h11.NEED_DATA:
                self._writer.send_continue()
                return
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                return
            try:
                self._process_event(event)
            except UnreadRequestError as error:
                self._refuse(error)

    def _process_event(self, event: object) -> None:
        if isinstance(event, h11.Request):
            self._writer.received_at = self._loop.time()
            self._assembler.begin(event, self._limits)
        elif isinstance(event, h11.Data):
            self._memory.take_body(len(event.data), self._reject_stale_body)
            self._assembler.add(bytes(event.data), self._limits)
        elif isinstance(event, h11.EndOfMessage):
            self._assembler.finish()
            self._memory.keep_body()
            self._start_response()

    def _reject_stale_body(self) -> None:
        self._refuse(build_memory_error())

    def _start_response(self) -> None:
        self._cancel_timer()
        self._is_reading = False
        self.is_responding = True
        writer = self._writer
        writer.begin_exchange(self._assembler.head, self._assembler.body)
        writer.idle_s = self._limits.idle_s
        writer.is_closing = self._listener.is_draining
        self._task = self._loop.create_task(
            self._listener.handle_exchange(writer)
        )

    def _end_response(self, is_reusable: bool) -> None:
        """Start reading the next request, or close the connection."""
        self.is_responding = False
        self._listener.record_use(self)
        self._memory.release_body()
        if not is_reusable or self._transport is None:
            self.close()
            return
        self._parser.start_next_cycle()
        self._limits = self._listener.limits()
        if self._parser.trailing_data[0]:
            self._pipelined_bytes = 0
            self._transport.resume_reading()
            self._expect_request()
            # Lets the handler's task end first.
            self._loop.call_soon(self._read_request)
            return
        self._set_timer(self._limits.idle_s + _IDLE_MARGIN_S, self.close)

    def _refuse(self, error: UnreadRequestError) -> None:
        """Respond to a request that was not read, then close."""
        self._cancel_timer()
        self._memory.release_body()
        self._assembler.discard()
        self.is_responding = True
        self._listener.count_unread(error.status, error.reason)
        self._writer.refuse(error)
        self.close()

    def _cancel_response(self) -> None:
        self._writer.detach()
        if self._task is not None and self.is_responding:
            self._task.cancel()

    def _reject_slow_request(self) -> None:
        self._refuse(
            UnreadRequestError(
                http.HTTPStatus.REQUEST_TIMEOUT,
                'request was not received in time',
            ),
        )

    def _set_timer(self, delay_s: float, callback: Callable[[], None]) -> None:
        self._cancel_timer()
        self._timer = self._loop.call_later(delay_s, callback)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class Http1Listener:
    """Listen on one address and run a task for each request."""

    def __init__(
        self,
        address: Address,
        on_exchange: ExchangeHandler,
        limits: Callable[[], ClientLimits] = ClientLimits,
        count_unread: Callable[[int, str], None] | None = None,
        memory: ByteBudget | None = None,
        max_connections: int = CALLER_CONNECTIONS_MAX,
    ) -> None:
        """Call ``limits`` for each request, ``count_unread`` on rejections.

        ``memory`` limits the bodies of all requests, and the responses that
        clients don't read. Above ``max_connections``, the connection that has
        been idle for the longest time is closed.
        """
        self.closed_at_limit = 0
        self._max_connections = max_connections
        self.limits = limits
        self.memory = memory or build_client_memory()
        self.is_draining = False
        self._address = address
        self._on_exchange = on_exchange
        self._count_unread = count_unread
        # Ordered by the end of the last response, the longest idle one first.
        self._connections: dict[ServerConnection, None] = {}
        self._server: asyncio.Server | None = None

    @property
    def in_progress(self) -> int:
        """Return the number of requests whose response was not sent yet."""
        return sum(
            connection.is_responding or connection.has_unsent_bytes
            for connection in self._connections
        )

    @property
    def open_connections(self) -> int:
        """Return the number of client connections."""
        return len(self._connections)

    async def start(self) -> None:
        """Start listening."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self),
            self._address.host,
            self._address.port,
            backlog=_BACKLOG,
        )

    def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.close()

    def close_idle(self) -> None:
        """Close the connections on which no request is in progress."""
        for connection in list(self._connections):
            connection.close_if_idle()

    async def handle_exchange(self, exchange: Exchange) -> None:
        """Handle one request; close the connection if that fails."""
        number = exchange.number
        try:
            await self._on_exchange(exchange)
        except Exception as error:
            emit_event(
                HANDLER_FAILED,
                peer=exchange.peer,
                target=exchange.head.target.decode('latin-1'),
                error=repr(error),
            )
        finally:
            # A handler may go on while the next request is being handled.
            if exchange.number == number:
                self._close_unfinished(exchange)

    def _close_unfinished(self, exchange: Exchange) -> None:
        """Close a connection whose client would wait for a response."""
        if exchange.progress is ResponseProgress.ENDED:
            return
        if exchange.is_connected:
            emit_event(
                RESPONSE_MISSING,
                peer=exchange.peer,
                target=exchange.head.target.decode('latin-1'),
                progress=exchange.progress.value,
            )
        exchange.abort()

    def count_unread(self, status: int, reason: str) -> None:
        """Report a request that could not be read."""
        if self._count_unread is not None:
            self._count_unread(status, reason)

    def add(self, connection: ServerConnection) -> None:
        """Register an open connection, and close another at the limit."""
        self._connections[connection] = None
        if len(self._connections) <= self._max_connections:
            return
        idle = next((each for each in self._connections if each.is_idle), None)
        if idle is not None:
            self.closed_at_limit += 1
            idle.close()

    def record_use(self, connection: ServerConnection) -> None:
        """Record that a response on a connection has ended."""
        if connection in self._connections:
            self._connections.pop(connection)
            self._connections[connection] = None

    def remove(self, connection: ServerConnection) -> None:
        """Unregister a closed connection."""
        self._connections.pop(connection, None)
