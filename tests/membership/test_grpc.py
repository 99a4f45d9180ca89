"""Test that the gRPC transport rejects forged messages and counts bytes.

The tests use loopback sockets on a real loop; none waits for a timeout.
"""

import asyncio
import datetime as dt

import pytest

from cassiarail.core.clock import LoopClock, ManualClock
from cassiarail.core.exceptions import PeerRejectedError
from cassiarail.core.loops import run_real
from cassiarail.membership.backends.base import (
    CALL_OVERHEAD_BYTES,
    FeedService,
    PeerService,
)
from cassiarail.membership.backends.codec import SignedCodec
from cassiarail.membership.backends.grpc import (
    GrpcPeerServer,
    GrpcPeerTransport,
)
from cassiarail.membership.exceptions import PeerUnavailableError
from cassiarail.membership.protos import peers_pb2 as pb

_CALLS = 50


class _Services(PeerService, FeedService):
    async def handle_exchange(self, digest):
        return pb.Digest(address='server', generation=digest.generation)

    async def handle_announcement(self, announcement):
        return pb.Ack(accepted=True)

    async def subscribe(self, request):
        for generation in (1, 2):
            yield pb.RoutingUpdate(generation=generation)

    async def handle_report(self, report):
        return pb.Ack(accepted=report.gateway == 'g')


async def _start_server(codec):
    services = _Services()
    server = GrpcPeerServer(codec, services, services)
    await server.start('127.0.0.1', 0)
    return server, f'127.0.0.1:{server.port}'


class _CountingProxy:
    """Count the bytes on the wire in both directions."""

    def __init__(self, port):
        self._port = port
        self.counts = {'sent': 0, 'received': 0}
        self._tasks = []

    async def serve(self, reader, writer):
        upstream = await asyncio.open_connection('127.0.0.1', self._port)
        self._tasks = [
            asyncio.ensure_future(self._pump('sent', reader, upstream[1])),
            asyncio.ensure_future(self._pump('received', upstream[0], writer)),
        ]

    async def _pump(self, kind, reader, writer):
        while chunk := await reader.read(65536):
            self.counts[kind] += len(chunk)
            writer.write(chunk)
        writer.close()


def test_refused_connection_is_reported_after_calls_and_streams():
    """A transport that hides a dead peer would retain it in the membership."""

    async def scenario():
        codec = SignedCodec(b'secret', LoopClock())
        server, address = await _start_server(codec)
        transport = GrpcPeerTransport(codec)
        response = await transport.exchange(address, pb.Digest(generation=7))
        assert response.generation == 7
        ack = await transport.report(address, pb.GatewayReport(gateway='g'))
        assert ack.accepted
        updates = transport.subscribe(address, pb.SubscribeRequest())
        assert [update.generation async for update in updates] == [1, 2]
        await server.stop()
        with pytest.raises(PeerUnavailableError):
            await transport.exchange(address, pb.Digest())
        await transport.aclose()

    run_real(scenario)


def test_wrong_secret_is_rejected():
    """A process without the secret must not join or stop the fleet."""

    async def scenario():
        server, address = await _start_server(SignedCodec(b'a', LoopClock()))
        transport = GrpcPeerTransport(SignedCodec(b'b', LoopClock()))
        with pytest.raises(PeerRejectedError):
            await transport.announce(address, pb.Announcement(id=1))
        await transport.aclose()
        await server.stop()

    run_real(scenario)


def test_counted_bytes_are_not_below_bytes_on_the_wire():
    """A count below the bytes on the wire would hide an exceeded limit."""

    async def scenario():
        codec = SignedCodec(b'secret', LoopClock())
        server, _ = await _start_server(codec)
        proxy = _CountingProxy(server.port)
        listener = await asyncio.start_server(proxy.serve, '127.0.0.1', 0)
        port = listener.sockets[0].getsockname()[1]
        transport = GrpcPeerTransport(codec)
        # The first calls open the connection and send the headers in full.
        readings = []
        for calls in (10, _CALLS):
            for _ in range(calls):
                await transport.exchange(
                    f'127.0.0.1:{port}', pb.Digest(address='c')
                )
            readings.append(
                (
                    proxy.counts['sent'],
                    proxy.counts['received'],
                    transport.traffic.sent.total(),
                    transport.traffic.received.total(),
                )
            )
        await transport.aclose()
        await server.stop()
        listener.close()
        return [after - before for before, after in zip(*readings, strict=True)]

    sent, received, counted_sent, counted_received = run_real(scenario)
    assert sent <= counted_sent <= sent + 20 * _CALLS
    assert received <= counted_received <= received + 20 * _CALLS


def test_old_damaged_or_long_messages_are_rejected():
    """A replayed or oversized message must not be merged."""
    clock = ManualClock(dt.datetime(2026, 1, 1, tzinfo=dt.UTC))
    codec = SignedCodec(b'secret', clock, window_s=30, max_bytes=1000)
    frame = codec.encode(pb.Ack(accepted=True), pb.Ack)
    assert codec.decode(frame, pb.Ack).accepted
    damaged = frame[:-1] + bytes([frame[-1] ^ 1])
    for bad, kind in ((damaged, pb.Ack), (frame, pb.Digest), (b'x', pb.Ack)):
        with pytest.raises(PeerRejectedError):
            codec.decode(bad, kind)
    clock.advance(31)
    with pytest.raises(PeerRejectedError):
        codec.decode(frame, pb.Ack)
    with pytest.raises(PeerRejectedError):
        codec.encode(pb.Digest(address='a' * 2000), pb.Digest)
