"""Serve HTTP/1.1 for the stand-ins of the soak test, on streams and h11."""

import asyncio
import contextlib
import json
from typing import NamedTuple

import h11

from tests.soak.loopback import ADDRESS

_CHUNK_BYTES = 65536


def _check_task_result(task):
    """Raise the exception of a task; ignore those of a disconnected caller."""
    if not task.cancelled() and task.exception() is not None:
        error = task.exception()
        if not isinstance(error, (ConnectionError, Abort, h11.ProtocolError)):
            raise error


class Abort(Exception):
    """Raised to reset the connection instead of responding."""


class Request(NamedTuple):
    """Hold a complete request; header names are lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


class Response:
    """Send a response, complete or in chunks."""

    def __init__(self, connection, writer):
        self.goes_on_after_close = False
        self.copy_delay_s = None
        self._connection = connection
        self._writer = writer
        self._sent = b''
        self._is_closed = False

    def send_copy(self):
        """Send all bytes of the response once more, if that was drawn."""
        if self.copy_delay_s is not None:
            asyncio.get_running_loop().call_later(
                self.copy_delay_s, self._writer.write, self._sent
            )

    def detach(self):
        """Send nothing more, as the caller has closed its connection."""
        self._is_closed = True

    async def _send(self, event):
        if self._is_closed:
            return
        encoded = self._connection.send(event)
        self._sent += encoded
        self._writer.write(encoded)
        await self._writer.drain()

    async def respond(self, status, headers=None, body=b''):
        """Send a complete response."""
        length = {'content-length': str(len(body))}
        self.send_head(status, {**(headers or {}), **length})
        await self.send(body)
        await self.finish()

    async def respond_json(self, status, document):
        """Send a JSON document."""
        body = json.dumps(document).encode()
        await self.respond(status, {'content-type': 'application/json'}, body)

    def send_head(self, status, headers):
        """Send the head."""
        event = h11.Response(status_code=status, headers=list(headers.items()))
        self._sent += self._connection.send(event)
        self._writer.write(self._sent)

    async def send(self, chunk):
        """Send a chunk of the body."""
        await self._send(h11.Data(data=chunk))

    async def finish(self):
        """End the response."""
        await self._send(h11.EndOfMessage())


class HttpServer:
    """Serve a listener whose connections can all be reset at once."""

    def __init__(self, handle):
        """Call ``handle`` for each request; it may raise ``Abort``."""
        self._handle = handle
        self._server = None
        self._tasks = set()
        self.port = 0

    async def start(self, port=0):
        """Listen on loopback."""
        self._server = await asyncio.start_server(self._serve, ADDRESS, port)
        self.port = self._server.sockets[0].getsockname()[1]

    def crash(self):
        """Reset all connections and stop listening."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        connection = h11.Connection(h11.SERVER)
        try:
            with contextlib.suppress(
                ConnectionError, h11.ProtocolError, asyncio.CancelledError
            ):
                while await self._serve_one(connection, reader, writer):
                    connection.start_next_cycle()
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def _serve_one(self, connection, reader, writer):
        request = await self._read(connection, reader)
        if request is None:
            return False
        response = Response(connection, writer)
        handler = asyncio.ensure_future(self._handle(request, response))
        # A caller that closes its connection cancels its request.
        disconnect = asyncio.ensure_future(reader.read(_CHUNK_BYTES))
        handler.add_done_callback(_check_task_result)
        disconnect.add_done_callback(_check_task_result)
        try:
            done, _ = await asyncio.wait(
                [handler, disconnect], return_when=asyncio.FIRST_COMPLETED
            )
            if handler not in done and response.goes_on_after_close:
                response.detach()
                await handler
        finally:
            # A crash ends what is running.
            if not handler.done():
                handler.cancel()
        if handler not in done:
            return False
        try:
            handler.result()
        except Abort:
            return False
        if disconnect.done():
            return False
        response.send_copy()
        disconnect.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await disconnect
        return connection.our_state is h11.DONE

    async def _read(self, connection, reader):
        head, body = None, b''
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await reader.read(_CHUNK_BYTES))
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                return _make_request(head, body)
            else:
                return None


def _make_request(head, body):
    target = head.target.decode()
    path, _, query = target.partition('?')
    pairs = (pair.partition('=') for pair in query.split('&') if pair)
    return Request(
        head.method.decode(),
        path,
        {name: value for name, _, value in pairs},
        {name.decode(): value.decode() for name, value in head.headers},
        body,
    )
