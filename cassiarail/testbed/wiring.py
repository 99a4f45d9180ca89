"""Connect the processes of a deployment by TCP or in virtual time."""

import abc
from typing import Any

import httpx
from anyio.abc import TaskGroup

from cassiarail.core.clock import Clock
from cassiarail.core.transports import create_tcp_transport
from cassiarail.membership.backends.base import (
    FeedService,
    PeerService,
    PeerTransport,
)
from cassiarail.membership.backends.codec import SignedCodec
from cassiarail.membership.backends.grpc import (
    GrpcPeerServer,
    GrpcPeerTransport,
)
from cassiarail.membership.backends.memory import (
    MemoryPeerNetwork,
    MemoryPeerTransport,
)
from cassiarail.standins.listeners import (
    Listener,
    MemoryListener,
    TcpListener,
)
from cassiarail.standins.network import MemoryTransport, Network

_SECRET = b'testbed'
# One-way latency between hosts of one region.
_LATENCY_S = 0.0005


class Wiring(abc.ABC):
    """Create listeners and transports of one kind."""

    listener: Listener

    @abc.abstractmethod
    def create_transport(self, source: str) -> httpx.AsyncBaseTransport:
        """Return an HTTP transport of a process."""

    @abc.abstractmethod
    def create_peers(self, source: str) -> PeerTransport:
        """Return the peer transport of a process."""

    @abc.abstractmethod
    async def open_peers(
        self,
        address: str,
        peers: PeerService,
        feed: FeedService,
    ) -> None:
        """Serve peers and gateways at an address."""

    @abc.abstractmethod
    async def close_peers(self, address: str) -> None:
        """Stop serving peers and gateways at an address."""

    async def wait_until_open(self, address: str) -> None:
        """Wait until an address accepts connections."""

    def join_group(self, source: str, group: str) -> None:
        """Add a process to a partition group, if partitions are supported."""


class MemoryWiring(Wiring):
    """Connect the processes in memory, in virtual time."""

    def __init__(self, group: TaskGroup, clock: Clock) -> None:
        self.network = Network(group)
        self.network.latency_s = _LATENCY_S
        self.peers = MemoryPeerNetwork(SignedCodec(_SECRET, clock))
        self.peers.latency_s = _LATENCY_S
        self.listener = MemoryListener(self.network)

    def create_transport(self, source: str) -> httpx.AsyncBaseTransport:
        """Return an HTTP transport of a process."""
        return MemoryTransport(self.network, source)

    def create_peers(self, source: str) -> PeerTransport:
        """Return the peer transport of a process."""
        return MemoryPeerTransport(self.peers, source)

    async def open_peers(
        self,
        address: str,
        peers: PeerService,
        feed: FeedService,
    ) -> None:
        """Serve peers and gateways at an address."""
        self.peers.listen(address, peers, feed)

    async def close_peers(self, address: str) -> None:
        """Stop serving peers and gateways at an address."""
        self.peers.kill(address)

    def join_group(self, source: str, group: str) -> None:
        """Add a process to a partition group."""
        self.network.join_group(source, group)
        self.peers.join_group(source, group)


class TcpWiring(Wiring):
    """Connect the processes over loopback ports."""

    def __init__(self, group: TaskGroup, clock: Clock) -> None:
        self._tcp = TcpListener(group)
        self.listener = self._tcp
        self._codec = SignedCodec(_SECRET, clock)
        self._servers: dict[str, GrpcPeerServer] = {}

    def create_transport(self, source: str) -> httpx.AsyncBaseTransport:
        """Return an HTTP transport of a process."""
        return create_tcp_transport()

    def create_peers(self, source: str) -> PeerTransport:
        """Return the peer transport of a process."""
        return GrpcPeerTransport(self._codec)

    async def open_peers(
        self,
        address: str,
        peers: PeerService,
        feed: FeedService,
    ) -> None:
        """Serve peers and gateways at an address."""
        server = GrpcPeerServer(self._codec, peers, feed)
        host, _, port = address.rpartition(':')
        await server.start(host, int(port))
        self._servers[address] = server

    async def close_peers(self, address: str) -> None:
        """Stop serving peers and gateways at an address."""
        server = self._servers.pop(address, None)
        if server is not None:
            await server.stop()

    def close(self) -> None:
        """Stop serving all addresses."""
        self._tcp.close()

    async def wait_until_open(self, address: str) -> None:
        """Wait until an address accepts connections."""
        await self._tcp.wait_until_open(address)


class CountingTransport(httpx.AsyncBaseTransport):
    """Count the bytes that a process exchanges over another transport.

    Bodies and headers count in both directions; request and status lines
    don't.
    """

    def __init__(self, inner: httpx.AsyncBaseTransport) -> None:
        self._inner = inner
        self.counted_bytes = 0

    async def handle_async_request(
        self,
        request: httpx.Request,
    ) -> httpx.Response:
        """Send one request and count its bytes and those of the response."""
        response = await self._inner.handle_async_request(request)
        self.counted_bytes += _count_bytes(request) + _count_bytes(response)
        return response

    async def aclose(self) -> None:
        """Close the transport."""
        await self._inner.aclose()


def _count_bytes(message: Any) -> int:
    headers = sum(len(name) + len(text) for name, text in message.headers.raw)
    return headers + int(message.headers.get('content-length', 0))
