"""Serve stand-ins on loopback ports, and end them as a crash would."""

import abc
from typing import Any, cast

import anyio
from anyio.abc import TaskGroup
from hypercorn.asyncio import serve
from hypercorn.config import Config

from cassiarail.standins.network import AsgiApplication, Network

_CONNECT_POLL_S = 0.02


class Listener(abc.ABC):
    """Serve applications at addresses."""

    @abc.abstractmethod
    def listen(self, address: str, application: AsgiApplication) -> None:
        """Serve an application at an address."""

    @abc.abstractmethod
    def kill(self, address: str) -> None:
        """Stop serving an address; break its connections."""


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


class TcpListener(Listener):
    """Serve on TCP ports with hypercorn."""

    def __init__(self, group: TaskGroup) -> None:
        """Run the servers in a task group."""
        self._group = group
        self._scopes: dict[str, anyio.CancelScope] = {}

    def listen(self, address: str, application: AsgiApplication) -> None:
        """Serve an application at an address such as ``127.0.0.1:9000``."""
        scope = anyio.CancelScope()
        self._scopes[address] = scope
        self._group.start_soon(self._serve, address, application, scope)

    def kill(self, address: str) -> None:
        """Stop serving an address; break its connections."""
        scope = self._scopes.pop(address, None)
        if scope is not None:
            scope.cancel()

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
        scope: anyio.CancelScope,
    ) -> None:
        config = Config()
        config.bind = [address]
        config.accesslog = None
        config.errorlog = None
        config.graceful_timeout = 0
        with scope:
            await serve(
                cast(Any, application),
                config,
                shutdown_trigger=anyio.sleep_forever,
            )
