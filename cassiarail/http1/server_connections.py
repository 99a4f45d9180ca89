"""Read the requests of one client connection and handle them in order."""

import abc
import asyncio
import http
import inspect
from collections.abc import Callable
from typing import cast

from cassiarail.http1.assembly import (
    ClientLimits,
    UnreadRequestError,
    build_stop_error,
)
from cassiarail.http1.exchanges import Exchange, ResponseProgress
from cassiarail.http1.parsing import (
    find_next_request,
    renew_parser,
    skip_empty_lines,
)
from cassiarail.http1.refusals import RefusalRenderer
from cassiarail.http1.request_reading import RequestReader
from cassiarail.http1.sockets import (
    close_gracefully,
    enable_dead_peer_detection,
)
from cassiarail.http1.states import ConnectionState
from cassiarail.http1.turns import TurnPasses
from cassiarail.http1.writing import ResponseWriter
from cassiarail.limits.byte_budget import ByteBudget

# Clients reuse connections until shortly before the idle limit. Closing later
# than the limit avoids closing while a new request is in flight.
_IDLE_MARGIN_S = 0.5

_FINAL = frozenset((ConnectionState.CLOSING, ConnectionState.CLOSED))


class ConnectionOwner(abc.ABC):
    """Keep the connections of a listener and handle their requests."""

    is_draining: bool
    limits: Callable[[], ClientLimits]
    memory: ByteBudget
    turns: TurnPasses
    render_refusal: RefusalRenderer

    @abc.abstractmethod
    def add(self, connection: 'ServerConnection') -> None:
        """Register an open connection."""

    @abc.abstractmethod
    def record_use(self, connection: 'ServerConnection') -> None:
        """Record that a response on a connection has ended."""

    @abc.abstractmethod
    def remove(self, connection: 'ServerConnection') -> None:
        """Unregister a closed connection."""

    @abc.abstractmethod
    def count_unread(self, status: int, reason: str) -> None:
        """Report a request that could not be read."""

    @abc.abstractmethod
    def count_limit(self, name: str) -> None:
        """Count that a connection has reached a limit."""

    @abc.abstractmethod
    async def handle_exchange(self, exchange: Exchange) -> None:
        """Handle one request."""


class ServerConnection(RequestReader):
    """Read the requests of one client and handle them in order."""

    def __init__(self, listener: ConnectionOwner) -> None:
        super().__init__(
            listener.limits(),
            listener.memory,
            listener.turns,
            listener.count_limit,
        )
        self._listener = listener
        self._writer = ResponseWriter(
            self._parser,
            self._end_response,
            self._is_last_response,
        )
        self._task: asyncio.Task[None] | None = None
        self._is_ahead_revoked = False
        self._is_stopping = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start waiting for the first request."""
        tcp = cast(asyncio.Transport, transport)
        self.attach(tcp)
        enable_dead_peer_detection(tcp)
        self._writer.attach(tcp)
        self._memory.client = self._writer.peer.rpartition(':')[0]
        self._turn.client = self._memory.client
        self.waiting_since = self._loop.time()
        self._listener.add(self)
        self._timer.set(self._limits.idle_s + _IDLE_MARGIN_S, self.close)

    def data_received(self, received: bytes) -> None:
        """Parse data, or buffer it until the current response has ended."""
        if self.state is ConnectionState.CLOSING:
            return
        if self.state is ConnectionState.WAITING:
            received = skip_empty_lines(received)
        if not received:
            return
        self._parser.receive_data(received)
        if self._turn.is_awaited or self.state is ConnectionState.RESPONDING:
            self.hold_ahead(self.ahead_bytes + len(received))
        elif self.state is ConnectionState.WAITING:
            self.begin_request()
        else:
            self.read_request()

    def eof_received(self) -> bool:
        """Treat a half-closed connection as a client that disconnected.

        ``close`` would wait until the client has read all buffered bytes.
        """
        if self.state is ConnectionState.RESPONDING:
            self._cancel_response()
            if self._transport is not None:
                self._transport.abort()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the request of a client that has disconnected."""
        self._turn.close()
        self._memory.release()
        self._cancel_response()
        self._timer.cancel()
        self.state = ConnectionState.CLOSED
        self._listener.remove(self)
        self._assembler.discard()
        if self._task is None or self._task.done():
            self._writer.close()
        else:
            self._task.add_done_callback(self._writer.close)

    def pause_writing(self) -> None:
        """Block further chunks while the client doesn't read."""
        self._writer.writable.clear()
        self.hold_unsent()

    def resume_writing(self) -> None:
        """Allow further chunks."""
        self._writer.writable.set()
        self._memory.release_unsent()
        if self.state is ConnectionState.SENDING:
            self._continue()

    def close(self) -> None:
        """Close the connection after all written bytes are sent and read."""
        transport = self._transport
        if transport is None or self.state in _FINAL:
            return
        if self.is_idle:
            # The kernel resets the connection if a request crosses the close,
            # so that the client knows that it wasn't read.
            self.drop()
            return
        self.state = ConnectionState.CLOSING
        self._timer.cancel()
        self._writer.detach()
        if not transport.is_closing():
            close_gracefully(transport, self._timer)

    def refuse_unread(self) -> None:
        """Refuse a request of which only a part was read."""
        # A request that is complete in the buffer is handled instead.
        self.read_buffered()
        self.refuse(build_stop_error())

    def stop(self) -> None:
        """Respond to what was read, break off a begun response, and close."""
        self._is_stopping = True
        if self.state is ConnectionState.SENDING:
            self._continue()
        self.refuse_unread()
        writer = self._writer
        # A client that has left stays registered until its connection is lost.
        while writer.is_connected and self.state is ConnectionState.RESPONDING:
            is_unstarted = _is_unstarted(self._task)
            if self._task is not None:
                self._task.cancel()
            if is_unstarted:
                error = build_stop_error()
                body = error.reason.encode()
                writer.respond(error.status, error.list_headers(), body)
            elif writer.progress is ResponseProgress.NOT_BEGUN:
                status = http.HTTPStatus.GATEWAY_TIMEOUT
                writer.respond(status, [], b'the request may have run')
            else:
                writer.abort()
            self.refuse_unread()
        self.close()

    def send_continue(self) -> None:
        """Tell the client to send the body, if it waits for that."""
        self._writer.send_continue()

    def start_response(self) -> None:
        """Handle the request that was read."""
        self._timer.cancel()
        self.state = ConnectionState.RESPONDING
        self.receives_body = False
        self.hold_ahead(len(self._parser.trailing_data[0]))
        writer = self._writer
        writer.received_at = self.received_at
        writer.begin_exchange(*self._assembler.finish())
        is_draining = self._listener.is_draining
        writer.idle_s = 0 if is_draining else self._limits.idle_s
        self._task = self._loop.create_task(
            self._listener.handle_exchange(writer)
        )

    def _is_last_response(self) -> bool:
        """Return whether nothing was read behind the last request."""
        is_draining = self._listener.is_draining
        return is_draining and not find_next_request(self._parser)

    def _end_response(self, is_reusable: bool) -> None:
        """Start reading the next request, or close the connection."""
        if self.state is not ConnectionState.RESPONDING:
            return
        self._listener.record_use(self)
        self._writer.end_exchange()
        self._memory.release_body()
        if not is_reusable or self._transport is None:
            self.close()
            return
        if self._is_ahead_revoked:
            self.close()
            return
        self._limits = self._listener.limits()
        self._parser = renew_parser(self._parser, self._limits)
        self._writer.use_parser(self._parser)
        if self._writer.writable.is_set():
            self._continue()
        elif self._is_stopping:
            self.hold_unsent()
            self._continue()
        else:
            self._wait_for_reader()

    def _wait_for_reader(self) -> None:
        """Handle no other request until the client reads its responses."""
        self.state = ConnectionState.SENDING
        self._count_limit('unread')
        self.pause_reading()
        self._timer.set(self._limits.idle_s + _IDLE_MARGIN_S, self.close)

    def _continue(self) -> None:
        """Handle the next request if it was sent ahead, or wait for it."""
        if self._parser.trailing_data[0]:
            self.state = ConnectionState.READING
            self._timer.cancel()
            # Lets the handler's task end first.
            self._turn.wait()
            return
        self.resume_reading()
        self.state = ConnectionState.WAITING
        self.waiting_since = self._loop.time()
        self._timer.set(self._limits.idle_s + _IDLE_MARGIN_S, self.close)

    def revoke_ahead(self) -> None:
        """Handle none of the requests that were sent ahead."""
        self._memory.release_ahead()
        if self.state is ConnectionState.RESPONDING:
            self._is_ahead_revoked = True
        elif self.state is ConnectionState.SENDING:
            self.close()
        else:
            self.refuse_stale()

    def refuse(self, error: UnreadRequestError) -> None:
        """Respond to a request that was not read, then close."""
        if self.state is not ConnectionState.READING:
            return
        self._turn.leave()
        self._memory.release_body()
        self._memory.release_ahead()
        method = self._assembler.head.method
        self._assembler.discard()
        self._listener.count_unread(error.status, error.reason)
        self._writer.refuse(error, method, self._listener.render_refusal)
        self.close()

    def _cancel_response(self) -> None:
        self._writer.detach()
        if self._task is not None and not self._writer.has_ended:
            self._task.cancel()


def _is_unstarted(task: asyncio.Task[None] | None) -> bool:
    """Return whether a task has run none of its code yet."""
    coroutine = None if task is None else task.get_coro()
    if not inspect.iscoroutine(coroutine):
        return False
    return inspect.getcoroutinestate(coroutine) == inspect.CORO_CREATED
