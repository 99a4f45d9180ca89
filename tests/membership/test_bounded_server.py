"""Test that a gRPC client that reads nothing uses bounded memory."""

import asyncio

from cassiarail.core.clock import LoopClock
from cassiarail.core.loops import run_virtual
from cassiarail.membership.backends.codec import SignedCodec
from cassiarail.membership.backends.grpc import GrpcPeerServer
from tests.http1.test_connection_machine import CallerTransport

BEGIN = b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\4\0\0\0\0\0'
PING = bytes((0, 0, 8, 6, 0, 0, 0, 0, 0)) + b'12345678'
PINGS = PING * 100
# What may wait for the client, and the answers to one piece.
MAX_UNSENT_BYTES = 65_536 + 2 * len(PINGS)


class PeerTransport(CallerTransport):
    """Play the kernel between a peer and a server."""

    def get_extra_info(self, name, default=None):
        return default


def test_pings_of_a_peer_that_reads_nothing_stay_with_the_kernel():
    async def main():
        codec = SignedCodec(b'secret' * 8, LoopClock())
        server = GrpcPeerServer(codec, None, None)
        protocol = server._server._protocol_factory()
        transport = PeerTransport(asyncio.get_running_loop(), protocol)
        protocol.connection_made(transport)
        transport.is_slow = True
        transport.deliver(BEGIN)
        for _ in range(200):
            transport.deliver(PINGS)
        assert transport.get_write_buffer_size() <= MAX_UNSENT_BYTES
        transport.is_slow = False
        for _ in range(500):
            transport.read_all()
            await asyncio.sleep(0)
        confirmed = transport.received + transport._unsent
        assert confirmed.count(b'12345678') == 200 * 100

    run_virtual(main)
