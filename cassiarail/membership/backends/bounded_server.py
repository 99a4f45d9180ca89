"""Read nothing from gRPC clients that don't read what they are sent."""

import asyncio
from typing import cast

from grpclib.protocol import H2Protocol
from grpclib.server import Server


class BoundedProtocol(H2Protocol):
    """Stop reading while the client doesn't read.

    Pings and settings are confirmed at once, so that a client that sends them
    without end and reads nothing would use up the memory.
    """

    tcp: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start receiving from a transport."""
        self.tcp = cast(asyncio.Transport, transport)
        super().connection_made(transport)

    def pause_writing(self) -> None:
        """Leave what the client sends to the kernel."""
        super().pause_writing()
        self.tcp.pause_reading()

    def resume_writing(self) -> None:
        """Go on receiving."""
        super().resume_writing()
        if not self.tcp.is_closing():
            self.tcp.resume_reading()


class BoundedServer(Server):
    """Serve gRPC by bounded connections."""

    def _protocol_factory(self) -> H2Protocol:
        protocol = super()._protocol_factory()
        return BoundedProtocol(
            protocol.handler, protocol.config, protocol.h2_config
        )
