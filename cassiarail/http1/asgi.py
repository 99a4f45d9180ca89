"""Run ASGI applications for the requests of a listener (ASGI 3.0, HTTP)."""

import asyncio
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any
from urllib.parse import unquote

from cassiarail.http1.exchanges import Exchange, ResponseProgress
from cassiarail.http1.messages import Headers

AsgiMessage = MutableMapping[str, Any]
AsgiApplication = Callable[[Any, Any, Any], Awaitable[None]]


class AsgiRequest:
    """Hold one request as an application sees it.

    The application may go on after its response, while the connection handles
    the next request; what it sends then is discarded.
    """

    def __init__(self, exchange: Exchange) -> None:
        self._exchange = exchange
        self._number = exchange.number
        self._body: bytes | None = exchange.body
        self._disconnected = asyncio.Event()
        self._status = 0
        self._headers: Headers = []

    def build_scope(self, scheme: str) -> dict[str, Any]:
        """Return the connection scope of the request."""
        head = self._exchange.head
        raw_path, _, query = head.target.partition(b'?')
        host, _, port = self._exchange.peer.rpartition(':')
        return {
            'type': 'http',
            'asgi': {'version': '3.0', 'spec_version': '2.3'},
            'http_version': '1.1',
            'method': head.method.decode('ascii'),
            'scheme': scheme,
            'path': unquote(raw_path.decode('latin-1')),
            'raw_path': raw_path,
            'query_string': query,
            'root_path': '',
            'headers': list(head.headers),
            'client': (host, int(port or 0)),
            'server': None,
            'extensions': {},
        }

    def disconnect(self) -> None:
        """Tell the application that its client has left."""
        self._disconnected.set()

    async def receive(self) -> AsgiMessage:
        """Return the body, and then wait until the client has left."""
        if self._body is None:
            await self._disconnected.wait()
            return {'type': 'http.disconnect'}
        body = self._body
        self._body = None
        return {'type': 'http.request', 'body': body, 'more_body': False}

    async def send(self, message: AsgiMessage) -> None:
        """Send a part of the response."""
        if message['type'] == 'http.response.start':
            self._status = message['status']
            self._headers = list(message.get('headers', []))
        elif message['type'] == 'http.response.body':
            chunk = message.get('body', b'')
            await self._send_body(chunk, message.get('more_body', False))

    async def _send_body(self, chunk: bytes, has_more: bool) -> None:
        exchange = self._exchange
        has_ended = exchange.progress is ResponseProgress.ENDED
        if has_ended or exchange.number != self._number:
            return
        is_begun = exchange.progress is ResponseProgress.BEGUN
        if not (has_more or is_begun):
            exchange.respond(self._status, self._headers, chunk)
            return
        if not is_begun:
            exchange.begin_stream(self._status, self._headers)
        if chunk:
            await exchange.send_chunk(chunk)
        if not has_more:
            exchange.finish_stream()


class AsgiHandler:
    """Run an application for each request, to its end.

    An application whose client has left is told so and not cancelled: what it
    has begun elsewhere may have to be completed or recorded.
    """

    def __init__(self, application: AsgiApplication, scheme: str) -> None:
        self._application = application
        self._scheme = scheme
        self._unattended: set[asyncio.Task[None]] = set()

    async def serve(self, exchange: Exchange) -> None:
        """Handle one request."""
        request = AsgiRequest(exchange)
        scope = request.build_scope(self._scheme)
        task = asyncio.ensure_future(
            self._application(scope, request.receive, request.send)
        )
        try:
            await asyncio.shield(task)
        except asyncio.CancelledError:
            request.disconnect()
            if not task.done():
                self._unattended.add(task)
                task.add_done_callback(self._forget)
            raise

    def _forget(self, task: asyncio.Task[None]) -> None:
        self._unattended.discard(task)
        if not task.cancelled():
            # Nobody is left to whom an error could be reported.
            task.exception()
