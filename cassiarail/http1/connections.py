"""Send requests to a server over one connection.

The complete request is written to the transport at once, so a server that
responds before it has read a long body still receives the remainder of that
body and nothing else.
"""

import asyncio
from collections.abc import Callable
from typing import cast

import h11

from cassiarail.core.exceptions import ConnectionLostError
from cassiarail.http1.messages import Headers, RequestHead, ResponseHead
from cassiarail.http1.sockets import (
    enable_dead_peer_detection,
    reset_connection,
)
from cassiarail.http1.statuses import find_status_problem
from cassiarail.limits.byte_budget import ByteReservation

# Maximum size of a response head: the largest head that the known
# deployments allow a client.
_MAX_HEAD_BYTES = 16_384
# Reading is paused while more bytes than this are unprocessed.
_MAX_UNREAD_BYTES = 65_536
# A faulty server may send responses that belong to no request without end.
_MAX_SKIPPED_RESPONSES = 16
# A longer body is not worth reading only to keep the connection.
_MAX_DISCARDED_BYTES = 65_536

AcceptHead = Callable[[ResponseHead], bool]


class ClientConnection(asyncio.Protocol):
    """Send requests and receive responses, one at a time."""

    def __init__(self, on_closed: Callable[['ClientConnection'], None]) -> None:
        """Call ``on_closed`` once when the connection is closed."""
        self.idle_since = float(0)
        self.keep_alive_s: float | None = None
        self.is_closed = False
        self.is_closed_by_peer = False
        self.sent_requests = 0
        self.unsent_bytes = 0
        self._on_closed = on_closed
        self._transport: asyncio.Transport | None = None
        self._parser = _create_parser()
        self._waiter: asyncio.Future[None] | None = None
        self._error: str | None = None
        self._unread = 0
        self._is_paused = False
        self._is_busy = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast(asyncio.Transport, transport)
        enable_dead_peer_detection(transport)

    def data_received(self, received: bytes) -> None:
        """Feed the parser; abort if no request is in progress."""
        if not self._is_busy:
            self.abort('data received without a request')
            return
        self._parser.receive_data(received)
        self._unread += len(received)
        if self._unread > _MAX_UNREAD_BYTES and self._transport:
            self._is_paused = True
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Pass the end of the server's data to the parser."""
        if self._is_busy:
            self._parser.receive_data(b'')
        self._record_close_by_peer()
        self._wake()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the request in progress, unless its response is complete."""
        if error is not None or self._error is None:
            self._error = repr(error) if error else 'closed by the server'
        # A path that is lost says nothing of the server.
        if not isinstance(error, TimeoutError):
            self._record_close_by_peer()
        self.is_closed = True
        self._wake()
        self._on_closed(self)

    def abort(self, reason: str) -> None:
        """Close the connection immediately.

        A request in progress is withdrawn with a reset: the kernel would go on
        sending the bytes that a path has held up, and they would arrive later.
        """
        self._error = self._error or reason
        self.is_closed = True
        transport = self._transport
        if transport is not None:
            self.unsent_bytes = transport.get_write_buffer_size()
            if self._is_busy and not transport.is_closing():
                reset_connection(transport)
            else:
                transport.abort()
        self._wake()

    def send(self, head: RequestHead, body: bytes) -> None:
        """Send a complete request; ``head`` has no framing headers."""
        self._is_busy = True
        if self._transport is None or self.is_closed:
            raise ConnectionLostError(self._error or 'connection is closed')
        self.sent_requests += 1
        self._transport.write(self._encode(head, body))

    async def read_head(self, accept: AcceptHead) -> ResponseHead:
        """Return the head of the first response that ``accept`` accepts.

        Responses that are not accepted belong to earlier requests and are
        read and discarded. Raises ``ConnectionLostError``.
        """
        skipped = 0
        while skipped < _MAX_SKIPPED_RESPONSES:
            skipped += 1
            event = await self._next_event()
            if isinstance(event, h11.Response):
                head = ResponseHead(
                    event.status_code,
                    bytes(event.reason),
                    list(event.headers),
                )
                problem = find_status_problem(head.status, head.reason)
                if problem is not None:
                    raise self._fail(problem)
                if accept(head):
                    return head
                await self._skip_response()
        raise self._fail('too many responses that belong to no request')

    async def read_chunk(self) -> bytes | None:
        """Return the next bytes of the body, or ``None`` at its end."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                return None

    async def read_body(
        self,
        limit: int,
        reservation: ByteReservation | None = None,
    ) -> bytes:
        """Return a complete body of at most ``limit`` bytes.

        The body also ends if ``reservation`` has no room for it.
        """
        chunks: list[bytes] = []
        size = 0
        while True:
            chunk = await self.read_chunk()
            if chunk is None:
                return b''.join(chunks)
            size += len(chunk)
            if size > limit:
                raise self._fail('response is too large')
            if reservation is not None and not reservation.take(len(chunk)):
                raise self._fail('no memory is left for the response')
            chunks.append(chunk)

    def finish(self) -> bool:
        """End the exchange; return whether the connection is reusable."""
        self._is_busy = False
        if self.is_closed or self._transport is None:
            return False
        parser = self._parser
        if parser.our_state is h11.IDLE:
            return True
        is_done = (
            parser.our_state is h11.DONE and parser.their_state is h11.DONE
        )
        unsent = self._transport.get_write_buffer_size()
        if not is_done or parser.trailing_data[0] or unsent:
            self.abort('connection is not reusable')
            return False
        parser.start_next_cycle()
        return True

    def _encode(self, head: RequestHead, body: bytes) -> bytes:
        framing: Headers = []
        if body or head.method not in {b'GET', b'HEAD', b'DELETE'}:
            framing.append((b'content-length', b'%d' % len(body)))
        request = h11.Request(
            method=head.method,
            target=head.target,
            headers=[*head.headers, *framing],
        )
        encoded = self._parser.send(request) or b''
        if body:
            encoded += self._parser.send(h11.Data(data=body)) or b''
        return encoded + (self._parser.send(h11.EndOfMessage()) or b'')

    async def _next_event(self) -> h11.Event:
        event = self._parse()
        while event is h11.NEED_DATA:
            await self._wait_for_data()
            event = self._parse()
        if isinstance(event, h11.ConnectionClosed):
            raise self._fail(self._error or 'closed before the response')
        if not isinstance(event, h11.Event):
            raise self._fail('unexpected data after the response')
        return event

    def _parse(self) -> object:
        try:
            return self._parser.next_event()
        except h11.RemoteProtocolError as error:
            raise self._fail(f'invalid HTTP response: {error}') from error

    async def _wait_for_data(self) -> None:
        self._unread = 0
        if self._is_paused and self._transport and not self.is_closed:
            self._is_paused = False
            self._transport.resume_reading()
        if self._error is not None:
            raise self._fail(self._error)
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    async def _skip_response(self) -> None:
        await self.discard_body()
        remaining, is_eof = self._parser.trailing_data
        # The request is still pending; only the parser state is reset.
        self._parser = _create_parser()
        self._parser.send(
            h11.Request(method='GET', target='/', headers=[('host', '-')]),
        )
        self._parser.send(h11.EndOfMessage())
        if remaining:
            self._parser.receive_data(remaining)
        if is_eof:
            self._parser.receive_data(b'')

    async def discard_body(self) -> None:
        """Read a short body to its end and discard it."""
        await self.read_body(_MAX_DISCARDED_BYTES)

    def _record_close_by_peer(self) -> None:
        if not self.is_closed:
            self.is_closed_by_peer = True
        self.is_closed = True

    def _fail(self, reason: str) -> ConnectionLostError:
        self.abort(reason)
        return ConnectionLostError(reason)

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


def _create_parser() -> h11.Connection:
    return h11.Connection(
        h11.CLIENT,
        max_incomplete_event_size=_MAX_HEAD_BYTES,
    )
