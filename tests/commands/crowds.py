"""Start one host with its stand-ins, and callers that only send."""

import asyncio
import contextlib
import pathlib
import socket

from tests.soak.behaviour import Behaviour
from tests.soak.callers import HOST, KINDS, Attempt, Call
from tests.soak.drill import Scale, SoakRun
from tests.soak.hosts import Host
from tests.soak.loopback import ADDRESS

FILE = KINDS[0]
# Small buffers of the kernel, so that a host has to keep what isn't read.
_RECEIVE_BUFFER_BYTES = 4096
_LARGEST_READ_BYTES = 65_536
# Ends a test whose host doesn't start or answer, also on a busy machine.
_START_TIMEOUT_S = 120
# Ordinary requests that are sent one by one beside a crowd.
_ROUNDS = 60


class LimitedHost(Host):
    """Start the program with lowered limits."""

    def __init__(self, folder, limits):
        super().__init__('h0', 'za', folder, 0)
        self._limits = limits

    def _build_settings(self):
        return {**super()._build_settings(), **self._limits}

    @property
    def pid(self):
        """Return the id of the process."""
        return self._process.pid

    @property
    def metrics_port(self):
        """Return the port of the metrics page."""
        return self._ports[2]

    def read_memory(self, field):
        """Return a size of the process in bytes."""
        status = pathlib.Path(f'/proc/{self.pid}/status').read_text('ascii')
        line = next(
            each for each in status.splitlines() if each.startswith(field)
        )
        return int(line.split()[1]) * 1024

    def count_descriptors(self):
        """Return the number of open descriptors."""
        return len(list(pathlib.Path(f'/proc/{self.pid}/fd').iterdir()))


class HostRun(SoakRun):
    """Start one host, the store and one plain service; end them."""

    behaviour = Behaviour(is_sound=True, queue_length=64)

    def __init__(self, folder, limits):
        super().__init__(1, Scale(hosts=0, engines=0), folder)
        self.host = LimitedHost(folder, limits)
        self._call_count = 0

    async def __aenter__(self):
        await self._start()
        self.host.link.target_port = self._store.server.port
        await self.host.start()
        try:
            await self._wait_until_served()
        except BaseException:
            await self.host.terminate()
            raise
        return self

    async def __aexit__(self, *_error):
        await self.host.terminate()

    async def _wait_until_served(self):
        async with asyncio.timeout(_START_TIMEOUT_S):
            while not await self.send_ordinary():
                await asyncio.sleep(0.1)

    async def send_ordinary(self):
        """Return whether one request inside the limits is answered with 200."""
        self._call_count += 1
        attempt = Attempt(Call(f'r{self._call_count}', FILE, 'h0', 0), 'm0', ())
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(
                ADDRESS, self.host.port
            )
            writer.write(attempt.encoded)
            await attempt.read_response(reader)
            writer.close()
        return attempt.call.status == 200 and attempt.call.is_complete


class Crowd:
    """Send the same bytes again and again on many connections; read nothing."""

    def __init__(self, port, request, connections, copies):
        self.taken_bytes = 0
        self.open_connections = connections
        self._port = port
        self._sent = request * copies
        self._connections = connections
        self._tasks = []
        self._sockets = []

    async def __aenter__(self):
        self._tasks = [
            asyncio.ensure_future(self._send())
            for _ in range(self._connections)
        ]
        return self

    async def __aexit__(self, *_error):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for each in self._sockets:
            each.close()

    @property
    def has_ended(self):
        """Return whether all was sent, or all connections were closed."""
        return all(task.done() for task in self._tasks)

    async def _send(self):
        loop = asyncio.get_running_loop()
        client = socket.socket()
        self._sockets.append(client)
        client.setblocking(False)
        client.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        remaining = memoryview(self._sent)
        try:
            await loop.sock_connect(client, (ADDRESS, self._port))
            while remaining:
                part = remaining[:_LARGEST_READ_BYTES]
                await loop.sock_sendall(client, part)
                self.taken_bytes += len(part)
                remaining = remaining[len(part) :]
        except OSError:
            self.open_connections -= 1


async def send_ordinary_meanwhile(run, crowd):
    """Send ordinary requests one by one until a crowd has shown its effect.

    A host that reads on without end takes all of a crowd within a few rounds.
    """
    for _round in range(_ROUNDS):
        await run.send_ordinary()
        if crowd.has_ended and not crowd.open_connections:
            return


def encode_get(path, headers=''):
    """Return a request without the headers that the host's rules ask for."""
    return f'GET {path} HTTP/1.1\r\nHost: {HOST}\r\n{headers}\r\n'.encode()
