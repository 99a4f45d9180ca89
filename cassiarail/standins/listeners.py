"""Serve stand-ins on loopback ports, and end them as a crash would."""

import abc
import asyncio
import collections
import contextlib
from collections.abc import Awaitable, Callable
from typing import Any, cast

import anyio
from anyio.abc import TaskGroup
from hypercorn.asyncio import serve
from hypercorn.config import Config

from cassiarail.standins.answers import BrokenConnectionError
from cassiarail.standins.network import AsgiApplication, AsgiMessage, Network

_STATUS_BROKEN = 502
_CONNECT_POLL_S = 0.02


class Listener(abc.ABC):
    """Serve applications at addresses."""

    @abc.abstractmethod
    def listen(self, address: str, application: AsgiApplication) -> None:
        """Serve an application at an address."""

    @abc.abstractmethod
    def kill(self, address: str) -> None:
        """Stop serving an address; break its connections."""

    @abc.abstractmethod
    def silence(self, address: str) -> int:
        """Make all open connections silent; return their number."""

    def join_group(self, address: str, group: str) -> None:
        """Put an address into a partition group."""

    def block(self, first: str, second: str) -> bool:
        """Drop traffic between two groups; tell whether that is possible."""
        return False

    def heal(self) -> None:
        """End all partitions."""


class MemoryListener(Listener):
    """Serve on the network of one process."""

    def __init__(self, network: Network) -> None:
        self._network = network

    def listen(self, address: str, application: AsgiApplication) -> None:
        """Serve an application at an address."""
        self._network.listen(address, application)

    def kill(self, address: str) -> None:
        """Stop serving an address; break its connections."""
        self._network.kill(address)

    def silence(self, address: str) -> int:
        """Make all open connections silent; return their number."""
        return self._network.silence(address)

    def join_group(self, address: str, group: str) -> None:
        """Put an address into a partition group."""
        self._network.join_group(address, group)

    def block(self, first: str, second: str) -> bool:
        """Drop traffic between two groups."""
        self._network.block(first, second)
        return True

    def heal(self) -> None:
        """End all partitions."""
        self._network.heal()


class SilenceableApplication:
    """Stop answering on chosen connections, which stay open."""

    def __init__(self, application: AsgiApplication) -> None:
        self._application = application
        self._open: collections.Counter[object] = collections.Counter()
        self._silent: set[object] = set()

    def silence(self) -> int:
        """Silence the connections with a request in progress."""
        self._silent.update(self._open)
        return len(self._open)

    async def __call__(
        self,
        scope: AsgiMessage,
        receive: Callable[[], Awaitable[AsgiMessage]],
        send: Callable[[AsgiMessage], Awaitable[None]],
    ) -> None:
        """Answer one request."""
        if scope['type'] != 'http':
            # A silent lifespan would keep the server from shutting down.
            await self._application(scope, receive, send)
            return
        peer = tuple(scope.get('client') or ())

        async def send_unless_silent(message: AsgiMessage) -> None:  # noqa: WPS430
            if peer in self._silent:
                await anyio.sleep_forever()
            await send(message)

        self._open[peer] += 1
        try:
            await self._application(scope, receive, send_unless_silent)
        except BrokenConnectionError:
            await _send_truncated(send)
            raise
        finally:
            self._open -= collections.Counter((peer,))
            # A silent request ends when its client has closed the
            # connection; a later one may have the same port.
            self._silent.discard(peer)


async def _send_truncated(
    send: Callable[[AsgiMessage], Awaitable[None]],
) -> None:
    """Announce a body that never comes; hypercorn would answer 500."""
    headers = [(b'content-length', b'1'), (b'connection', b'close')]
    start = {
        'type': 'http.response.start',
        'status': _STATUS_BROKEN,
        'headers': headers,
    }
    with contextlib.suppress(Exception):
        await send(start)


def ignore_cancellations(
    loop: asyncio.AbstractEventLoop,
    context: dict[str, Any],
) -> None:
    """Handle errors of a loop; those of cut connections are expected."""
    if not isinstance(context.get('exception'), asyncio.CancelledError):
        loop.default_exception_handler(context)


class TcpListener(Listener):
    """Serve on TCP ports with hypercorn."""

    def __init__(self, group: TaskGroup) -> None:
        """Run the servers in a task group."""
        self._group = group
        # Hypercorn 0.18 reports each connection that it cancels as an error.
        asyncio.get_running_loop().set_exception_handler(ignore_cancellations)
        self._stopped: dict[str, anyio.Event] = {}
        self._applications: dict[str, SilenceableApplication] = {}

    def listen(self, address: str, application: AsgiApplication) -> None:
        """Serve an application at an address such as ``127.0.0.1:9000``."""
        stopped = anyio.Event()
        silenceable = SilenceableApplication(application)
        self._applications[address] = silenceable
        self._stopped[address] = stopped
        self._group.start_soon(self._serve, address, silenceable, stopped)

    def kill(self, address: str) -> None:
        """Stop serving an address; break its connections."""
        stopped = self._stopped.pop(address, None)
        if stopped is not None:
            stopped.set()

    def close(self) -> None:
        """Stop serving all addresses."""
        for address in tuple(self._stopped):
            self.kill(address)

    def silence(self, address: str) -> int:
        """Make connections with a request in progress silent."""
        application = self._applications.get(address)
        return 0 if application is None else application.silence()

    async def wait_until_open(self, address: str) -> None:
        """Return when an address accepts connections."""
        host, _colon, port = address.rpartition(':')
        while True:
            try:
                stream = await anyio.connect_tcp(host, int(port))
            except OSError:
                await anyio.sleep(_CONNECT_POLL_S)
            else:
                return await stream.aclose()

    async def _serve(
        self,
        address: str,
        application: AsgiApplication,
        stopped: anyio.Event,
    ) -> None:
        config = Config()
        config.bind = [address]
        config.accesslog = None
        config.errorlog = None
        config.graceful_timeout = 0
        await serve(
            cast(Any, application),
            config,
            shutdown_trigger=stopped.wait,
        )
