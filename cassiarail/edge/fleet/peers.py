"""Exchange datagrams with the other hosts."""

import asyncio
from collections.abc import Callable, Iterable
from typing import cast

import msgspec

from cassiarail.core.events import emit_event
from cassiarail.edge.events import PEER_UNREACHABLE, PEER_UNREADABLE
from cassiarail.edge.fleet.messages import (
    Message,
    decode_message,
    encode_message,
)
from cassiarail.edge.fleet.traffic import PeerTraffic, TrafficKind
from cassiarail.http1.pool import Address

# For a host that has stopped, each datagram causes an error, twice a second.
_ERRORS_PER_LOG_LINE = 100

OnMessage = Callable[[Message, Address], None]


def _discard(_message: Message, _sender: Address) -> None:
    """Discard a message that arrives before a handler is set."""


class PeerLink(asyncio.DatagramProtocol):
    """Send and receive messages on one address."""

    def __init__(self, address: Address, traffic: PeerTraffic) -> None:
        self.address = address
        self.on_message: OnMessage = _discard
        self._traffic = traffic
        self._errors = 0
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Bind the address."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=(self.address.host, self.address.port),
        )

    def stop(self) -> None:
        """Release the address."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def send(
        self,
        message: Message,
        address: Address,
        kind: TrafficKind,
    ) -> None:
        """Send a message without a guarantee of delivery."""
        self.send_datagram(encode_message(message), address, kind)

    def send_datagram(
        self,
        datagram: bytes,
        address: Address,
        kind: TrafficKind,
    ) -> None:
        """Send an encoded message without a guarantee of delivery."""
        if self._transport is not None:
            self._traffic.count(kind, len(datagram))
            self._transport.sendto(datagram, (address.host, address.port))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(
        self,
        datagram: bytes,
        sender: tuple[str | int, ...],
    ) -> None:
        """Handle a message; log and discard a malformed one."""
        try:
            message = decode_message(datagram)
        except msgspec.MsgspecError as error:
            emit_event(PEER_UNREADABLE, peer=str(sender), error=str(error))
            return
        self.on_message(message, Address(str(sender[0]), int(sender[1])))

    def relay(
        self,
        datagram: bytes,
        addresses: Iterable[str],
        sender: Address,
    ) -> None:
        """Forward a message to other hosts and handle it."""
        try:
            receivers = [Address.parse(each) for each in addresses]
        except ValueError as error:
            emit_event(PEER_UNREADABLE, peer=str(sender), error=str(error))
            return
        for receiver in receivers:
            self.send_datagram(datagram, receiver, TrafficKind.RELAY)
        self.datagram_received(datagram, sender)

    def error_received(self, error: Exception) -> None:
        """Log the first and then each hundredth error of an unreachable peer.

        Nothing else is needed: each message is repeated anyway.
        """
        if not self._errors % _ERRORS_PER_LOG_LINE:
            emit_event(PEER_UNREACHABLE, error=repr(error))
        self._errors += 1
