"""Serve stand-ins in memory or on loopback ports; simulate crashes."""

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

from cassiarail.standins.network import AsgiApplication, AsgiMessage, Network
from cassiarail.standins.responses import BrokenConnectionError

_STATUS_BAD_GATEWAY = 502
_CONNECT_POLL_S = 0.02


class Listener(abc.ABC):
    """Serve ASGI applications at addresses."""

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
        """Drop traffic between two groups; return whether this is supported."""
        return False

    def heal(self) -> None:
        """End all partitions."""


class MemoryListener(Listener):
    """Serve on an in-process network."""

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
    """Withhold responses on chosen connections, which stay open."""

    def __init__(self, application: AsgiApplication) -> None:
        self._application = application
        self._open_requests: collections.Counter[object] = collections.Counter()
        self._silent_peers: set[object] = set()

    def silence(self) -> int:
        """Silence the connections with a request in progress."""
        self._silent_peers.update(self._open_requests)
        return len(self._open_requests)

    async def __call__(
        self,
        scope: AsgiMessage,
        receive: Callable[[], Awaitable[AsgiMessage]],
        send: Callable[[AsgiMessage], Awaitable[None]],
    ) -> None:
        """Handle one request."""
        if scope['type'] != 'http':
            # A silent lifespan would keep the server from shutting down.
            await self._application(scope, receive, send)
            return
        peer = tuple(scope.get('client') or ())

        async def send_unless_silent(message: AsgiMessage) -> None:  # noqa: WPS430
            if peer in self._silent_peers:
                await anyio.sleep_forever()
            await send(message)

        self._open_requests[peer] += 1
        try:
            await self._application(scope, receive, send_unless_silent)
        except BrokenConnectionError:
            await _send_truncated(send)
            raise
        finally:
            self._open_requests -= collections.Counter((peer,))
            # A silent request ends when its client closes the connection;
            # a later connection may use the same port.
            self._silent_peers.discard(peer)


async def _send_truncated(
    send: Callable[[AsgiMessage], Awaitable[None]],
) -> None:
    """Send the head of a response without its body.

    Otherwise hypercorn would respond with 500.
    """
    headers = [(b'content-length', b'1'), (b'connection', b'close')]
    start = {
        'type': 'http.response.start',
        'status': _STATUS_BAD_GATEWAY,
        'headers': headers,
    }
    with contextlib.suppress(Exception):
        await send(start)


def ignore_cancellations(
    loop: asyncio.AbstractEventLoop,
    context: dict[str, Any],
) -> None:
    """Handle errors of an event loop; ignore cancelled connections."""
    if not isinstance(context.get('exception'), asyncio.CancelledError):
        loop.default_exception_handler(context)


class TcpListener(Listener):
    """Serve on TCP ports with hypercorn."""

    def __init__(self, group: TaskGroup) -> None:
        """Create a listener whose servers run in a task group."""
        self._task_group = group
        # Hypercorn 0.18 reports each cancelled connection as an error.
        asyncio.get_running_loop().set_exception_handler(ignore_cancellations)
        self._stop_events: dict[str, anyio.Event] = {}
        self._applications: dict[str, SilenceableApplication] = {}

    def listen(self, address: str, application: AsgiApplication) -> None:
        """Serve an application at an address such as ``127.0.0.1:9000``."""
        stop_requested = anyio.Event()
        silenceable = SilenceableApplication(application)
        self._applications[address] = silenceable
        self._stop_events[address] = stop_requested
        self._task_group.start_soon(
            self._serve, address, silenceable, stop_requested
        )

    def kill(self, address: str) -> None:
        """Stop serving an address; break its connections."""
        stop_requested = self._stop_events.pop(address, None)
        if stop_requested is not None:
            stop_requested.set()

    def close(self) -> None:
        """Stop serving all addresses."""
        for address in tuple(self._stop_events):
            self.kill(address)

    def silence(self, address: str) -> int:
        """Make connections with a request in progress silent.

        Returns their number.
        """
        application = self._applications.get(address)
        return 0 if application is None else application.silence()

    async def wait_until_open(self, address: str) -> None:
        """Wait until an address accepts connections."""
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
        stop_requested: anyio.Event,
    ) -> None:
        config = Config()
        config.bind = [address]
        config.accesslog = None
        config.errorlog = None
        config.graceful_timeout = 0
        await serve(
            cast(Any, application),
            config,
            shutdown_trigger=stop_requested.wait,
        )
