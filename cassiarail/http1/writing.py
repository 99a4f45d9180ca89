"""Write responses to a client connection."""

import asyncio
import http
from collections.abc import Callable

import h11

from cassiarail.http1.exchanges import Exchange, ResponseProgress
from cassiarail.http1.messages import Header, Headers, RequestHead, find_header
from cassiarail.http1.refusals import RefusalRenderer, RefusedRequestError
from cassiarail.http1.sockets import reset_connection

_HEAD = b'HEAD'
_OLD_VERSION = b'1.0'


class ResponseWriter(Exchange):
    """Hold the current request and frame its response.

    ``idle_s`` is announced as the Keep-Alive timeout, unless it is 0.
    """

    def __init__(
        self,
        parser: h11.Connection,
        on_response_end: Callable[[bool], None],
        is_last: Callable[[], bool],
    ) -> None:
        """Call ``on_response_end`` with whether the connection is reusable.

        ``is_last`` returns whether the connection closes after a response
        that is complete now.
        """
        self.head = RequestHead(b'', b'', [])
        self.body = b''
        self.received_at = float(0)
        self.peer = ''
        self.idle_s = float(0)
        self.progress = ResponseProgress.NOT_BEGUN
        self.writable = asyncio.Event()
        self.writable.set()
        self._parser = parser
        self._on_response_end = on_response_end
        self._is_last = is_last
        self._transport: asyncio.Transport | None = None

    @property
    def is_connected(self) -> bool:
        """Return whether the client still waits for the response."""
        return self._transport is not None

    @property
    def has_ended(self) -> bool:
        """Return whether the response is complete or broken off."""
        return self.progress is ResponseProgress.ENDED

    def attach(self, transport: asyncio.Transport) -> None:
        """Start writing to a transport."""
        self._transport = transport
        peer = transport.get_extra_info('peername')
        self.peer = f'{peer[0]}:{peer[1]}' if peer else ''

    def use_parser(self, parser: h11.Connection) -> None:
        """Frame the next responses by another parser."""
        self._parser = parser

    def begin_exchange(self, head: RequestHead, body: bytes) -> None:
        """Hold the next request of the connection."""
        self.number += 1
        self.head = head
        self.body = body
        self.progress = ResponseProgress.NOT_BEGUN
        self.status = 0

    def end_exchange(self) -> None:
        """Keep nothing of a request that has its response."""
        self.head = RequestHead(b'', b'', [])
        self.body = b''

    def close(self, *_task: object) -> None:
        """Keep nothing, and forget the connection, which has ended.

        Reference cycles would leave both to the garbage collector, which is
        set to run rarely.
        """
        self.end_exchange()
        self._on_response_end = _ignore_end
        self._is_last = _deny

    def detach(self) -> None:
        """Discard all further bytes because the client has disconnected."""
        self._transport = None
        self.writable.set()

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response."""
        framed = list(headers)
        if self._is_last():
            framed.append((b'connection', b'close'))
        elif self.idle_s:
            framed.append(self._build_keep_alive())
        if find_header(headers, b'content-length') is None:
            framed.append((b'content-length', b'%d' % len(body)))
        self._send_head(status, framed)
        if body and self.head.method != _HEAD:
            self._send(h11.Data(data=body))
        self.finish_stream()

    def begin_stream(self, status: int, headers: Headers) -> None:
        """Send the head of a response.

        It doesn't announce that the connection closes, because the client may
        send its next request before the end of the stream.
        """
        framed = list(headers)
        if self.idle_s:
            framed.append(self._build_keep_alive())
        self._send_head(status, framed)

    async def send_chunk(self, chunk: bytes) -> None:
        """Send a chunk of the body."""
        self._send(h11.Data(data=chunk))
        if not self.writable.is_set():
            await self.writable.wait()

    def finish_stream(self) -> None:
        """Send the end of a complete body."""
        if self._transport is None:
            self.progress = ResponseProgress.ENDED
            return
        self._send(h11.EndOfMessage())
        self.progress = ResponseProgress.ENDED
        self._on_response_end(
            self._parser.our_state is h11.DONE
            and self._parser.their_state is h11.DONE,
        )

    def abort(self) -> None:
        """Close the connection before the response is complete."""
        transport = self._transport
        if transport is None or self.progress is ResponseProgress.ENDED:
            return
        self.progress = ResponseProgress.ENDED
        if self._parser.their_http_version == _OLD_VERSION:
            # The end of the connection would look like the end of the body.
            reset_connection(transport)
        self._on_response_end(False)

    def refuse(
        self,
        refusal: RefusedRequestError,
        method: bytes,
        render: RefusalRenderer,
    ) -> None:
        """Respond to a request that was not read completely.

        ``method`` is ignored unless the head of the request was read.
        """
        is_head_read = self._parser.our_state is h11.SEND_RESPONSE
        if self._parser.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        rendered, body = render(refusal)
        headers = [
            (b'content-length', b'%d' % len(body)),
            (b'connection', b'close'),
            *rendered,
        ]
        self._send_head(refusal.status, headers)
        if method != _HEAD or not is_head_read:
            self._send(h11.Data(data=body))

    def send_continue(self) -> None:
        """Send 100 Continue if the client waits for it."""
        if self._parser.they_are_waiting_for_100_continue:
            self._send(h11.InformationalResponse(status_code=100, headers=[]))

    def _build_keep_alive(self) -> Header:
        return (b'keep-alive', b'timeout=%d' % int(self.idle_s))

    def _send_head(self, status: int, headers: Headers) -> None:
        self._send(
            h11.Response(
                status_code=status,
                reason=_find_reason_phrase(status),
                headers=headers,
            ),
        )
        self.progress = ResponseProgress.BEGUN
        self.status = status

    def _send(self, event: h11.Event) -> None:
        if self._transport is None:
            return
        encoded = self._parser.send(event)
        if encoded:
            self._transport.write(encoded)


def _ignore_end(_is_reusable: bool) -> None:
    """Take the place of a callback to a connection that has ended."""


def _deny() -> bool:
    """Take the place of a question to a connection that has ended."""
    return False


def _find_reason_phrase(status: int) -> bytes:
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        return b''
