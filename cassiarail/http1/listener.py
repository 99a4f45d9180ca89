"""Take requests from clients on one address."""

import asyncio
import http
from collections.abc import Awaitable, Callable
from typing import NamedTuple, cast

import h11

from cassiarail.http1.exchanges import Exchange
from cassiarail.http1.messages import Headers, RequestHead, find_header
from cassiarail.http1.pool import Address
from cassiarail.http1.sockets import watch_for_silence

OnExchange = Callable[[Exchange], Awaitable[None]]
_HEAD = b'HEAD'
# Bytes of later requests that are read ahead while one is being answered.
_MAX_AHEAD_BYTES = 65_536
# Clients reuse connections until shortly before the idle limit; closing only
# after it keeps requests from crossing the close.
_IDLE_MARGIN_S = 0.5
_BACKLOG = 1024


# A request with both is framed differently by different parsers.
_AMBIGUOUS = frozenset((b'content-length', b'transfer-encoding'))


class ClientLimits(NamedTuple):
    """Bound what clients may send and how long they may take."""

    head_max_bytes: int = 16_384
    body_max_bytes: int = 4_194_304
    read_timeout_s: float = 3.0
    idle_s: float = 15.0


class _Failure(NamedTuple):
    """Hold the answer to a request that could not be read."""

    status: int
    reason: str


class ServerConnection(asyncio.Protocol, Exchange):
    """Read requests of one client and hand them to the handler in order."""

    def __init__(self, listener: 'Http1Listener') -> None:
        self.is_answering = False
        self._listener = listener
        self._limits = listener.limits()
        self._loop = asyncio.get_running_loop()
        self._parser = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=self._limits.head_max_bytes,
        )
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._pieces: list[bytes] = []
        self._size = 0
        self._ahead = 0
        self._is_reading = False
        self._is_gone = False
        self.peer = ''

    # Protocol callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to wait for the first request."""
        self._transport = cast(asyncio.Transport, transport)
        watch_for_silence(transport)
        peer = transport.get_extra_info('peername')
        self.peer = f'{peer[0]}:{peer[1]}' if peer else ''
        self._listener.add(self)
        self._set_timer(self._limits.idle_s + _IDLE_MARGIN_S, self._end_idle)

    def data_received(self, received: bytes) -> None:
        """Read on, unless the answer to an earlier request is due first."""
        self._parser.receive_data(received)
        if self.is_answering:
            self._ahead += len(received)
            if self._ahead > _MAX_AHEAD_BYTES and self._transport:
                self._transport.pause_reading()
            return
        if not self._is_reading:
            self._is_reading = True
            self._set_timer(self._limits.read_timeout_s, self._end_slow)
        self._read_request()

    def eof_received(self) -> bool:
        """Treat a client that sends no more as one that has left."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the work for a client that has left."""
        self._is_gone = True
        self._writable.set()
        self._cancel_timer()
        self._listener.remove(self)
        if self._task is not None and self.is_answering:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Hold pieces back while the client doesn't read."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Send pieces again."""
        self._writable.set()

    # The exchange

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""
        length = find_header(headers, b'content-length')
        framed = list(headers)
        if length is None:
            framed.append((b'content-length', b'%d' % len(body)))
        self._send_head(status, framed)
        if body and self.head.method != _HEAD:
            self._send(h11.Data(data=body))
        self._finish()

    def begin_stream(self, status: int, headers: Headers) -> None:
        """Send the head of an answer of unknown length."""
        self._send_head(status, headers)

    async def send_piece(self, piece: bytes) -> None:
        """Send bytes of the body."""
        self._send(h11.Data(data=piece))
        if not self._writable.is_set():
            await self._writable.wait()

    def finish_stream(self) -> None:
        """End the body as complete."""
        self._finish()

    def break_off(self) -> None:
        """Close the connection before the answer is complete."""
        self.is_answering = False
        if self._transport is not None:
            self._transport.close()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read or answered."""
        if not (self.is_answering or self._is_reading) and self._transport:
            self._transport.close()

    # Reading

    def _read_request(self) -> None:
        while not self.is_answering:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                self._refuse(_Failure(error.error_status_hint, str(error)))
                return
            if event is h11.NEED_DATA:
                self._send_continue()
                return
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                return
            self._take_event(event)

    def _take_event(self, event: object) -> None:
        if isinstance(event, h11.Request):
            self._take_head(event)
        elif isinstance(event, h11.Data):
            self._size += len(event.data)
            self._pieces.append(bytes(event.data))
            if self._size > self._limits.body_max_bytes:
                self._refuse(
                    _Failure(
                        http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                        'body is too large',
                    ),
                )
        elif isinstance(event, h11.EndOfMessage):
            self.body = b''.join(self._pieces)
            self._pieces = []
            self._start()

    def _take_head(self, event: h11.Request) -> None:
        self.received_at = self._loop.time()
        self.head = RequestHead(
            bytes(event.method),
            bytes(event.target),
            list(event.headers),
        )
        self._pieces = []
        self._size = 0
        names = {name for name, _text in self.head.headers}
        size = len(self.head.target) + sum(
            len(name) + len(text) for name, text in self.head.headers
        )
        if size > self._limits.head_max_bytes:
            status = http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            self._refuse(_Failure(status, 'head is too large'))
        elif names >= _AMBIGUOUS:
            status = http.HTTPStatus.BAD_REQUEST
            self._refuse(_Failure(status, 'body is framed twice'))

    def _start(self) -> None:
        self._cancel_timer()
        self._is_reading = False
        self.is_answering = True
        self._task = self._loop.create_task(self._listener.answer(self))

    def _send_continue(self) -> None:
        if self._parser.they_are_waiting_for_100_continue:
            self._send(h11.InformationalResponse(status_code=100, headers=[]))

    # Writing

    def _send_head(self, status: int, headers: Headers) -> None:
        if self._listener.is_draining:
            headers = [*headers, (b'connection', b'close')]
        else:
            seconds = int(self._limits.idle_s)
            headers = [*headers, (b'keep-alive', b'timeout=%d' % seconds)]
        self._send(
            h11.Response(
                status_code=status,
                reason=_phrase(status),
                headers=headers,
            ),
        )

    def _send(self, event: h11.Event) -> None:
        if self._is_gone or self._transport is None:
            return
        encoded = self._parser.send(event)
        if encoded:
            self._transport.write(encoded)

    def _finish(self) -> None:
        if self._is_gone or self._transport is None:
            return
        self._send(h11.EndOfMessage())
        self.is_answering = False
        if self._parser.our_state is not h11.DONE:
            self._transport.close()
            return
        if self._parser.their_state is not h11.DONE:
            self._transport.close()
            return
        self._begin_next()

    def _begin_next(self) -> None:
        self._parser.start_next_cycle()
        self._limits = self._listener.limits()
        if self._parser.trailing_data[0] and self._transport:
            self._ahead = 0
            self._transport.resume_reading()
            self._is_reading = True
            self._set_timer(self._limits.read_timeout_s, self._end_slow)
            # The handler's task ends first.
            self._loop.call_soon(self._read_request)
            return
        self._set_timer(self._limits.idle_s + _IDLE_MARGIN_S, self._end_idle)

    def _refuse(self, failure: _Failure) -> None:
        """Answer a request that was not read, and close."""
        self._cancel_timer()
        self.is_answering = True
        self._listener.count_unread(failure.status, failure.reason)
        if self._parser.our_state in {h11.IDLE, h11.SEND_RESPONSE}:
            body = failure.reason.encode()
            framing = [
                (b'content-length', b'%d' % len(body)),
                (b'connection', b'close'),
            ]
            self._send(
                h11.Response(
                    status_code=failure.status,
                    reason=_phrase(failure.status),
                    headers=framing,
                ),
            )
            self._send(h11.Data(data=body))
        if self._transport is not None:
            self._transport.close()

    # Timers

    def _set_timer(self, delay_s: float, callback: Callable[[], None]) -> None:
        self._cancel_timer()
        self._timer = self._loop.call_later(delay_s, callback)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _end_idle(self) -> None:
        if self._transport is not None:
            self._transport.close()

    def _end_slow(self) -> None:
        self._refuse(
            _Failure(
                http.HTTPStatus.REQUEST_TIMEOUT, 'request came too slowly'
            ),
        )


class Http1Listener:
    """Listen on one address and run a task for each request."""

    def __init__(
        self,
        address: Address,
        on_exchange: OnExchange,
        limits: Callable[[], ClientLimits] = ClientLimits,
        count_unread: Callable[[int, str], None] | None = None,
    ) -> None:
        """Read ``limits`` again for each request."""
        self.limits = limits
        self.is_draining = False
        self._address = address
        self._on_exchange = on_exchange
        self._count_unread = count_unread
        self._connections: set[ServerConnection] = set()
        self._server: asyncio.Server | None = None

    @property
    def in_progress(self) -> int:
        """Return the requests being answered."""
        return sum(each.is_answering for each in self._connections)

    @property
    def open_connections(self) -> int:
        """Return the connections of clients."""
        return len(self._connections)

    async def start(self) -> None:
        """Begin to listen."""
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
            connection.break_off()

    def close_idle(self) -> None:
        """Close the connections on which no request is in progress."""
        for connection in list(self._connections):
            connection.close_if_idle()

    async def answer(self, exchange: Exchange) -> None:
        """Answer one request."""
        await self._on_exchange(exchange)

    def count_unread(self, status: int, reason: str) -> None:
        """Report a request that could not be read."""
        if self._count_unread is not None:
            self._count_unread(status, reason)

    def add(self, connection: ServerConnection) -> None:
        """Remember an open connection."""
        self._connections.add(connection)

    def remove(self, connection: ServerConnection) -> None:
        """Forget a connection that has ended."""
        self._connections.discard(connection)


def _phrase(status: int) -> bytes:
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        return b''
