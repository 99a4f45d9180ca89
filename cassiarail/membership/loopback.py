"""Measure the CPU time of gRPC exchanges over loopback."""

import time
from collections.abc import AsyncIterator

from cassiarail.core.clock import LoopClock
from cassiarail.core.loops import run_real
from cassiarail.membership.backends.base import FeedService, PeerService
from cassiarail.membership.backends.codec import SignedCodec
from cassiarail.membership.backends.grpc import (
    GrpcPeerServer,
    GrpcPeerTransport,
)
from cassiarail.membership.protos import peers_pb2 as pb

_LOOPBACK = '127.0.0.1'
# Digests at the design size contain about this many load reports.
_LOAD_REPORTS = 12
_WARM_UP_CALLS = 20
_MILLISECONDS_PER_SECOND = 1000


class _EchoService(PeerService, FeedService):
    """Respond to each digest with the same digest."""

    async def handle_exchange(self, digest: pb.Digest) -> pb.Digest:
        return digest

    async def handle_announcement(
        self,
        announcement: pb.Announcement,
    ) -> pb.Ack:
        return pb.Ack(accepted=True)

    async def subscribe(
        self,
        request: pb.SubscribeRequest,
    ) -> AsyncIterator[pb.RoutingUpdate]:
        yield pb.RoutingUpdate(full=True)

    async def handle_report(self, report: pb.GatewayReport) -> pb.Ack:
        return pb.Ack(accepted=True)


def measure_grpc_cpu_ms(calls: int) -> float:
    """Return the CPU time of one exchange in milliseconds.

    The time covers client and server.
    """
    return run_real(_measure, calls)


async def _measure(calls: int) -> float:
    codec = SignedCodec(b'loopback', LoopClock())
    service = _EchoService()
    server = GrpcPeerServer(codec, service, service)
    await server.start(_LOOPBACK, 0)
    transport = GrpcPeerTransport(codec)
    address = f'{_LOOPBACK}:{server.port}'
    try:
        await _exchange(transport, address, _WARM_UP_CALLS)
        started_at = time.process_time()
        await _exchange(transport, address, calls)
        cpu_s = time.process_time() - started_at
    finally:
        await transport.aclose()
        await server.stop()
    return cpu_s / calls * _MILLISECONDS_PER_SECOND


async def _exchange(
    transport: GrpcPeerTransport,
    address: str,
    calls: int,
) -> None:
    digest = pb.Digest(address=address, loads=_make_loads())
    for _ in range(calls):
        await transport.exchange(address, digest)


def _make_loads() -> pb.LoadColumns:
    numbers = range(_LOAD_REPORTS)
    return pb.LoadColumns(
        targets=numbers,
        epochs=numbers,
        sequences=numbers,
        running=numbers,
        queued=numbers,
        kv_shares=numbers,
        ages=numbers,
    )
