"""Exchange datagrams with the other hosts."""

import asyncio
from collections.abc import Callable, Iterable
from typing import cast

import msgspec

from cassiarail.core.events import emit_event
from cassiarail.edge.events import PEER_UNREACHABLE, PEER_UNREADABLE
from cassiarail.edge.messages import Message, decode_message, encode_message
from cassiarail.edge.traffic import PeerTraffic, TrafficKind
from cassiarail.http1.pool import Address

# A peer that is gone is answered for at each datagram, twice a second.
_ERRORS_A_LINE = 100

OnMessage = Callable[[Message, Address], None]


def _ignore(_message: Message, _sender: Address) -> None:
    """Drop a message that comes before there is a receiver."""


class PeerLink(asyncio.DatagramProtocol):
    """Send and receive messages on one address."""

    def __init__(self, address: Address, traffic: PeerTraffic) -> None:
        self.address = address
        self.on_message: OnMessage = _ignore
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
        """Send a message; it may be lost."""
        self.send_datagram(encode_message(message), address, kind)

    def send_datagram(
        self,
        datagram: bytes,
        address: Address,
        kind: TrafficKind,
    ) -> None:
        """Send an encoded message; it may be lost."""
        if self._transport is not None:
            self._traffic.count(kind, len(datagram))
            self._transport.sendto(datagram, (address.host, address.port))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(
        self,
        datagram: bytes,
        sender: tuple[str | int, ...],
    ) -> None:
        """Hand a message on; a broken one is logged and dropped."""
        try:
            message = decode_message(datagram)
        except msgspec.MsgspecError as error:
            emit_event(PEER_UNREADABLE, peer=str(sender), error=str(error))
            return
        self.on_message(message, Address(str(sender[0]), int(sender[1])))

    def pass_on(
        self,
        datagram: bytes,
        addresses: Iterable[str],
        sender: Address,
    ) -> None:
        """Send a message to others and take it."""
        try:
            receivers = [Address.parse(each) for each in addresses]
        except ValueError as error:
            emit_event(PEER_UNREADABLE, peer=str(sender), error=str(error))
            return
        for receiver in receivers:
            self.send_datagram(datagram, receiver, TrafficKind.RELAY)
        self.datagram_received(datagram, sender)

    def error_received(self, error: Exception) -> None:
        """Log an unreachable peer, and then each hundredth time.

        Nothing else is done: each message is sent again anyway.
        """
        if not self._errors % _ERRORS_A_LINE:
            emit_event(PEER_UNREACHABLE, error=repr(error))
        self._errors += 1
