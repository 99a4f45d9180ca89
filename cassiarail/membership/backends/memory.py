"""Implement the peer transport in memory, with partitions and latency."""

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, TypeVar

import anyio

from cassiarail.membership.backends.base import (
    FeedService,
    PeerService,
    PeerTransport,
    Traffic,
)
from cassiarail.membership.backends.codec import SignedCodec
from cassiarail.membership.exceptions import (
    PeerTimeoutError,
    PeerUnavailableError,
)
from cassiarail.membership.protos import peers_pb2 as pb

_Message = TypeVar('_Message')
_TIMEOUT_S = 1.0


class _Listener:
    """Hold the services and the traffic of one address."""

    def __init__(
        self,
        peers: PeerService,
        feed: FeedService | None,
        traffic: Traffic,
    ) -> None:
        self.peers = peers
        self.feed = feed
        self.traffic = traffic
        self.closed = anyio.Event()


class MemoryPeerNetwork:
    """Connect the peers of one process."""

    def __init__(self, codec: SignedCodec) -> None:
        """Initialize with the codec used by all peers."""
        self.codec = codec
        self.latency_s = float(0)
        self._listeners: dict[str, _Listener] = {}
        self._groups: dict[str, str] = {}
        self._blocked: set[tuple[str, str]] = set()

    def listen(
        self,
        address: str,
        peers: PeerService,
        feed: FeedService | None = None,
        traffic: Traffic | None = None,
    ) -> None:
        """Serve peers and gateways at an address."""
        self._listeners[address] = _Listener(peers, feed, traffic or Traffic())

    def kill(self, address: str) -> None:
        """Stop the process at an address and close its streams."""
        listener = self._listeners.pop(address, None)
        if listener is not None:
            listener.closed.set()

    def join_group(self, address: str, group: str) -> None:
        """Assign an address to a partition group."""
        self._groups[address] = group

    def block(self, first: str, second: str) -> None:
        """Drop all messages between two partition groups."""
        self._blocked.update(((first, second), (second, first)))

    def heal(self) -> None:
        """End all partitions."""
        self._blocked.clear()

    def can_reach(self, source: str, address: str) -> bool:
        """Return whether messages pass from a source to an address."""
        pair = (self._groups.get(source, ''), self._groups.get(address, ''))
        return pair not in self._blocked

    def find(self, address: str) -> _Listener:
        """Return a listener; raise ``PeerUnavailableError`` if missing."""
        listener = self._listeners.get(address)
        if listener is None:
            raise PeerUnavailableError(f'{address} refused the connection')
        return listener


class MemoryPeerTransport(PeerTransport):
    """Send the messages of one process through the network."""

    def __init__(self, network: MemoryPeerNetwork, source: str) -> None:
        """Initialize the sender; ``source`` determines its partition group."""
        self._network = network
        self._source = source
        self.traffic = Traffic()

    async def exchange(self, address: str, digest: pb.Digest) -> pb.Digest:
        """Send a digest to a peer and return the peer's digest."""
        listener = await self._connect(address)
        return await self._call(
            listener,
            digest,
            listener.peers.handle_exchange,
        )

    async def announce(
        self,
        address: str,
        announcement: pb.Announcement,
    ) -> pb.Ack:
        """Send an announcement to a peer."""
        listener = await self._connect(address)
        return await self._call(
            listener,
            announcement,
            listener.peers.handle_announcement,
        )

    async def report(self, address: str, report: pb.GatewayReport) -> pb.Ack:
        """Send the report of a gateway to its controller."""
        listener = await self._connect(address)
        feed = _require_feed(listener, address)
        return await self._call(listener, report, feed.handle_report)

    async def subscribe(
        self,
        address: str,
        request: pb.SubscribeRequest,
    ) -> AsyncIterator[pb.RoutingUpdate]:
        """Yield the routing updates of a controller until the stream ends."""
        listener = await self._connect(address)
        feed = _require_feed(listener, address)
        sent = self._transmit(request, self.traffic, listener.traffic)
        updates = feed.subscribe(sent)
        while True:
            update = await _UpdateWaiter(updates, listener.closed).wait()
            if not self._network.can_reach(self._source, address):
                raise PeerTimeoutError(f'{address} is unresponsive')
            if update is None:
                raise PeerUnavailableError(f'{address} ended the stream')
            yield self._transmit(update, listener.traffic, self.traffic)

    async def _connect(self, address: str) -> _Listener:
        if not self._network.can_reach(self._source, address):
            await anyio.sleep(_TIMEOUT_S)
            raise PeerTimeoutError(f'{address} did not respond')
        if self._network.latency_s:
            await anyio.sleep(self._network.latency_s)
        return self._network.find(address)

    async def _call(
        self,
        listener: _Listener,
        message: Any,
        handle_message: Callable[[Any], Awaitable[_Message]],
    ) -> _Message:
        received = self._transmit(message, self.traffic, listener.traffic)
        try:
            with anyio.fail_after(_TIMEOUT_S):
                response = await handle_message(received)
                await anyio.sleep(self._network.latency_s)
        except TimeoutError as error:
            raise PeerTimeoutError('peer did not respond') from error
        if listener.closed.is_set():
            raise PeerUnavailableError('peer closed the connection')
        return self._transmit(response, listener.traffic, self.traffic)

    def _transmit(
        self,
        message: _Message,
        sender: Traffic,
        receiver: Traffic,
    ) -> _Message:
        """Encode, count and decode a message at sender and receiver."""
        kind = type(message)
        frame = self._network.codec.encode(message, kind)  # type: ignore[arg-type]
        sender.count_sent(kind.__name__, len(frame))
        receiver.count_received(kind.__name__, len(frame))
        decoded: _Message = self._network.codec.decode(frame, kind)
        return decoded


def _require_feed(listener: _Listener, address: str) -> FeedService:
    if listener.feed is None:
        raise PeerUnavailableError(f'{address} does not serve a feed')
    return listener.feed


class _UpdateWaiter:
    """Wait for the next update or for the process to stop."""

    def __init__(
        self,
        updates: AsyncIterator[pb.RoutingUpdate],
        closed: anyio.Event,
    ) -> None:
        self._updates = updates
        self._closed = closed
        self._received: pb.RoutingUpdate | None = None
        self._scope = anyio.CancelScope()

    async def wait(self) -> pb.RoutingUpdate | None:
        """Return the next update, or ``None`` when the process stopped."""
        async with anyio.create_task_group() as group:
            self._scope = group.cancel_scope
            group.start_soon(self._wait_closed)
            group.start_soon(self._wait_update)
        return self._received

    async def _wait_closed(self) -> None:
        await self._closed.wait()
        self._scope.cancel()

    async def _wait_update(self) -> None:
        self._received = await anext(self._updates, None)
        self._scope.cancel()
