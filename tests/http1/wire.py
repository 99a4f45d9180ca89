"""Scripted servers and raw clients on loopback."""

import asyncio
import contextlib
import socket
import struct

from cassiarail.core.loops import run_real
from cassiarail.http1.pool import Address

# Makes a hanging test fail; no test result depends on it otherwise.
TIMEOUT_S = 20


class ScriptedServer:
    """Accept connections and run a script on each."""

    def __init__(self, script):
        self._script = script
        self._tasks = []
        self.connections = 0
        self.received = b''

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.address = Address(*self._server.sockets[0].getsockname())
        return self

    async def __aexit__(self, *_error):
        self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _serve(self, reader, writer):
        self._tasks.append(asyncio.current_task())
        self.connections += 1
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            await self._script(self, reader, writer)
        with contextlib.suppress(RuntimeError):
            writer.close()

    async def read_request(self, reader):
        """Read one request; return its head and body."""
        head = await reader.readuntil(b'\r\n\r\n')
        length = 0
        for line in head.lower().split(b'\r\n'):
            if line.startswith(b'content-length:'):
                length = int(line.partition(b':')[2])
        body = await reader.readexactly(length)
        self.received += head + body
        return head, body


def reset(writer):
    """End a connection with a reset."""
    tcp = writer.get_extra_info('socket')
    tcp.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
    writer.transport.abort()


def run_with_timeout(main):
    """Run an async test with a timeout."""

    async def run_with_limit():
        async with asyncio.timeout(TIMEOUT_S):
            await main()

    run_real(run_with_limit)


async def send_and_receive(address, sent, *, until_close=False, size=65536):
    """Send bytes as a client and return the received bytes."""
    reader, writer = await asyncio.open_connection(*address)
    writer.write(sent)
    try:
        if until_close:
            return await reader.read(-1)
        return await reader.read(size)
    except ConnectionError:
        return b'(reset)'
    finally:
        writer.close()
