"""Serve HTTP/1.1 for the stand-ins of the soak, on plain streams and h11."""

import asyncio
import contextlib
import json
from typing import NamedTuple

import h11

from tests.soak.loopback import ADDRESS

_CHUNK = 65536


def _take_end(task):
    """Take note of how a task ended; a caller that left is no fault."""
    if not task.cancelled() and task.exception() is not None:
        error = task.exception()
        if not isinstance(error, (ConnectionError, Abort, h11.ProtocolError)):
            raise error


class Abort(Exception):
    """Reset the connection instead of answering."""


class Request(NamedTuple):
    """Hold a request that was read whole; header names are lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


class Response:
    """Send an answer, whole or piece by piece."""

    def __init__(self, connection, writer):
        self._connection = connection
        self._writer = writer

    async def answer(self, status, headers=None, body=b''):
        """Send a whole answer."""
        length = {'content-length': str(len(body))}
        self.begin(status, {**(headers or {}), **length})
        await self.send(body)
        await self.finish()

    async def answer_json(self, status, document):
        """Send a document."""
        body = json.dumps(document).encode()
        await self.answer(status, {'content-type': 'application/json'}, body)

    def begin(self, status, headers):
        """Send the head."""
        event = h11.Response(status_code=status, headers=list(headers.items()))
        self._writer.write(self._connection.send(event))

    async def send(self, piece):
        """Send a piece of the body."""
        self._writer.write(self._connection.send(h11.Data(data=piece)))
        await self._writer.drain()

    async def finish(self):
        """End the answer."""
        self._writer.write(self._connection.send(h11.EndOfMessage()))
        await self._writer.drain()


class HttpServer:
    """Own a listener whose connections can all be reset at once."""

    def __init__(self, handle):
        """``handle`` takes a request and its response; it may raise Abort."""
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
        work = asyncio.ensure_future(
            self._handle(request, Response(connection, writer))
        )
        # A caller that closes its connection cancels its request.
        leaving = asyncio.ensure_future(reader.read(_CHUNK))
        work.add_done_callback(_take_end)
        leaving.add_done_callback(_take_end)
        done, _ = await asyncio.wait(
            [work, leaving], return_when=asyncio.FIRST_COMPLETED
        )
        if work not in done:
            work.cancel()
            return False
        try:
            work.result()
        except Abort:
            return False
        if leaving.done():
            return False
        leaving.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await leaving
        return connection.our_state is h11.DONE

    async def _read(self, connection, reader):
        head, body = None, b''
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await reader.read(_CHUNK))
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
