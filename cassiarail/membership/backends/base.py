"""Define the interfaces between controllers, peers and gateways."""

import abc
import collections
from collections.abc import AsyncIterator

from cassiarail.membership.protos import peers_pb2 as pb

# Bytes of HTTP/2 frames and compressed headers in each direction of one call
# on an open connection; tests/membership/test_grpc.py compares them with the
# bytes on the wire.
CALL_OVERHEAD_BYTES = 36


class Traffic:
    """Count calls and bytes of a node by message type."""

    def __init__(self) -> None:
        self.sent: collections.Counter[str] = collections.Counter()
        self.received: collections.Counter[str] = collections.Counter()
        self.calls: collections.Counter[str] = collections.Counter()
        self.largest_message_bytes = 0

    def count_sent(self, kind: str, size: int) -> None:
        """Count one sent message and its call overhead."""
        self.calls[kind] += 1
        self.sent[kind] += size + CALL_OVERHEAD_BYTES
        self.largest_message_bytes = max(self.largest_message_bytes, size)

    def count_received(self, kind: str, size: int) -> None:
        """Count one received message and its call overhead."""
        self.received[kind] += size + CALL_OVERHEAD_BYTES

    def total_bytes(self) -> int:
        """Return the bytes sent and received so far."""
        return self.sent.total() + self.received.total()


class PeerService(abc.ABC):
    """Handle the messages of peers."""

    @abc.abstractmethod
    async def handle_exchange(self, digest: pb.Digest) -> pb.Digest:
        """Merge the digest of a peer and return this node's digest."""

    @abc.abstractmethod
    async def handle_announcement(
        self,
        announcement: pb.Announcement,
    ) -> pb.Ack:
        """Apply and forward an announcement."""


class FeedService(abc.ABC):
    """Handle the messages of gateways."""

    @abc.abstractmethod
    def subscribe(
        self,
        request: pb.SubscribeRequest,
    ) -> AsyncIterator[pb.RoutingUpdate]:
        """Yield a full update, then changes until the gateway disconnects."""

    @abc.abstractmethod
    async def handle_report(self, report: pb.GatewayReport) -> pb.Ack:
        """Process the report of a gateway."""


class PeerTransport(abc.ABC):
    """Send messages to controllers by address.

    Every method raises ``PeerUnavailableError``, ``PeerTimeoutError`` or
    ``PeerRejectedError``.
    """

    traffic: Traffic

    @abc.abstractmethod
    async def exchange(self, address: str, digest: pb.Digest) -> pb.Digest:
        """Send a digest to a peer and return the peer's digest."""

    @abc.abstractmethod
    async def announce(
        self,
        address: str,
        announcement: pb.Announcement,
    ) -> pb.Ack:
        """Send an announcement to a peer."""

    @abc.abstractmethod
    def subscribe(
        self,
        address: str,
        request: pb.SubscribeRequest,
    ) -> AsyncIterator[pb.RoutingUpdate]:
        """Yield the routing updates of a controller until the stream ends."""

    @abc.abstractmethod
    async def report(self, address: str, report: pb.GatewayReport) -> pb.Ack:
        """Send the report of a gateway to its controller."""

    async def aclose(self) -> None:
        """Close the connections."""
