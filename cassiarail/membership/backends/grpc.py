"""Implement the peer transport over gRPC."""

import socket
import ssl
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from typing import Any, TypeVar

from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError, StreamTerminatedError

from cassiarail.core.events import emit_event
from cassiarail.core.exceptions import PeerRejectedError
from cassiarail.membership.backends.base import (
    FeedService,
    PeerService,
    PeerTransport,
    Traffic,
)
from cassiarail.membership.backends.bounded_server import BoundedServer
from cassiarail.membership.backends.codec import SignedCodec
from cassiarail.membership.events import PEER_REJECTED
from cassiarail.membership.exceptions import (
    PeerTimeoutError,
    PeerUnavailableError,
)
from cassiarail.membership.protos import peers_pb2 as pb
from cassiarail.membership.protos.peers_grpc import (
    FeedBase,
    FeedStub,
    PeersBase,
    PeersStub,
)

_Response = TypeVar('_Response')
_CALL_TIMEOUT_S = 1.0


class GrpcPeerTransport(PeerTransport):
    """Send messages over one channel per address."""

    def __init__(
        self,
        codec: SignedCodec,
        tls: ssl.SSLContext | None = None,
        timeout_s: float = _CALL_TIMEOUT_S,
    ) -> None:
        """Initialize with the deployment's codec and optional TLS context."""
        self.traffic = Traffic()
        self._codec = CountingCodec(codec, self.traffic)
        self._tls = tls
        self._timeout_s = timeout_s
        self._channels: dict[str, Channel] = {}

    async def exchange(self, address: str, digest: pb.Digest) -> pb.Digest:
        """Send a digest to a peer and return the peer's digest."""
        stub = PeersStub(self._get_channel(address))
        return await self._call(address, stub.Exchange, digest)

    async def announce(
        self,
        address: str,
        announcement: pb.Announcement,
    ) -> pb.Ack:
        """Send an announcement to a peer."""
        stub = PeersStub(self._get_channel(address))
        return await self._call(address, stub.Announce, announcement)

    async def report(self, address: str, report: pb.GatewayReport) -> pb.Ack:
        """Send the report of a gateway to its controller."""
        stub = FeedStub(self._get_channel(address))
        return await self._call(address, stub.Report, report)

    async def subscribe(
        self,
        address: str,
        request: pb.SubscribeRequest,
    ) -> AsyncIterator[pb.RoutingUpdate]:
        """Yield the routing updates of a controller until the stream ends."""
        stub = FeedStub(self._get_channel(address))
        try:
            async with stub.Subscribe.open() as stream:
                await stream.send_message(request, end=True)
                async for update in stream:
                    yield update
        except (GRPCError, OSError, StreamTerminatedError) as error:
            raise self._translate_error(address, error) from error

    def close_channel(self, address: str) -> None:
        """Close the channel to an address."""
        channel = self._channels.pop(address, None)
        if channel is not None:
            channel.close()

    async def aclose(self) -> None:
        """Close all channels."""
        for address in tuple(self._channels):
            self.close_channel(address)

    async def _call(
        self,
        address: str,
        method: Callable[..., Awaitable[_Response]],
        message: Any,
    ) -> _Response:
        try:
            return await method(message, timeout=self._timeout_s)
        except TimeoutError as error:
            # The connection may be dead; the next call opens a new one.
            self.close_channel(address)
            raise PeerTimeoutError(f'{address} did not respond') from error
        except (GRPCError, OSError, StreamTerminatedError) as error:
            raise self._translate_error(address, error) from error

    def _translate_error(self, address: str, error: Exception) -> Exception:
        status = getattr(error, 'status', None)
        if status is Status.DEADLINE_EXCEEDED:
            self.close_channel(address)
            return PeerTimeoutError(f'{address} did not respond in time')
        if status in {Status.UNAUTHENTICATED, Status.INVALID_ARGUMENT}:
            return PeerRejectedError(f'{address} rejected the message')
        self.close_channel(address)
        return PeerUnavailableError(f'{address}: {error}')

    def _get_channel(self, address: str) -> Channel:
        channel = self._channels.get(address)
        if channel is None:
            host, _, port = address.rpartition(':')
            channel = Channel(host, int(port), codec=self._codec, ssl=self._tls)
            self._channels[address] = channel
        return channel


class GrpcPeerServer:
    """Serve peers and gateways on one TCP address."""

    def __init__(
        self,
        codec: SignedCodec,
        peers: PeerService,
        feed: FeedService,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        """Initialize with the services that handle messages."""
        self.traffic = Traffic()
        self.port = 0
        self._stopped = False
        self._tls = tls
        self._server = BoundedServer(
            [_PeersAdapter(peers, self), _FeedAdapter(feed, self)],
            codec=_ServerCodec(codec, self.traffic),
        )

    async def start(self, host: str, port: int) -> None:
        """Listen on an address; port 0 lets the system choose ``port``."""
        listener = socket.create_server((host, port))
        self.port = listener.getsockname()[1]
        await self._server.start(sock=listener, ssl=self._tls)

    async def stop(self) -> None:
        """Cancel the calls in progress and refuse further ones.

        grpclib leaves connections open after its server was closed.
        """
        self._stopped = True
        self._server.close()
        await self._server.wait_closed()

    def describe_limits(self) -> Iterator[tuple[str, float]]:
        """Yield the name of each limit, and how often it was reached."""
        connections = self._server.connections
        yield from connections.limit_counts.items()
        yield 'memory', connections.memory.revoked

    def require_running(self) -> None:
        """Raise ``GRPCError`` for a call after ``stop``."""
        if self._stopped:
            raise GRPCError(Status.UNAVAILABLE, 'the controller has stopped')


class CountingCodec(SignedCodec):
    """Count the bytes that another codec encodes and decodes."""

    def __init__(self, codec: SignedCodec, traffic: Traffic) -> None:
        """Wrap the codec of the deployment."""
        self._codec = codec
        self._traffic = traffic

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the signed bytes of a message."""
        frame = self._codec.encode(message, message_type)
        self._traffic.count_sent(message_type.__name__, len(frame))
        return frame

    def decode(self, frame: bytes, message_type: Any) -> Any:
        """Return a message; raise ``PeerRejectedError`` if it is invalid."""
        self._traffic.count_received(message_type.__name__, len(frame))
        return self._codec.decode(frame, message_type)


class _ServerCodec(CountingCodec):
    """Reject invalid messages with a gRPC status."""

    def decode(self, frame: bytes, message_type: Any) -> Any:
        try:
            return super().decode(frame, message_type)
        except PeerRejectedError as error:
            emit_event(PEER_REJECTED, reason=error.message)
            raise GRPCError(
                Status.UNAUTHENTICATED,
                error.message,
            ) from error


class _PeersAdapter(PeersBase):
    def __init__(self, peers: PeerService, server: GrpcPeerServer) -> None:
        self._peers = peers
        self._server = server

    async def Exchange(self, stream: Any) -> None:
        self._server.require_running()
        await _respond(stream, self._peers.handle_exchange)

    async def Announce(self, stream: Any) -> None:
        self._server.require_running()
        await _respond(stream, self._peers.handle_announcement)


class _FeedAdapter(FeedBase):
    def __init__(self, feed: FeedService, server: GrpcPeerServer) -> None:
        self._feed = feed
        self._server = server

    async def Subscribe(self, stream: Any) -> None:
        self._server.require_running()
        request = await stream.recv_message()
        async for update in self._feed.subscribe(request):
            await stream.send_message(update)

    async def Report(self, stream: Any) -> None:
        self._server.require_running()
        await _respond(stream, self._feed.handle_report)


async def _respond(
    stream: Any,
    handle_message: Callable[[Any], Awaitable[_Response]],
) -> None:
    request = await stream.recv_message()
    await stream.send_message(await handle_message(request))
