"""Define the datagrams between the hosts.

Hosts report their demand to the order holder, and the holder tells all hosts
what the engines hold. Both may be lost: each is sent again within a second.
"""

from typing import Any

import msgspec


class DemandRow(msgspec.Struct, array_like=True):
    """Report the demand for a model or adapter at one host."""

    service: str
    model: str
    adapter: str
    asked: int
    in_flight: int
    waiting: int
    refused: int
    objective_s: float = 0


class LossRow(msgspec.Struct, array_like=True):
    """Report a request that was lost with a start of a target."""

    fingerprint: str
    instance: str
    born_ms: int


class Digest(msgspec.Struct, tag='digest'):
    """Report a host's demand to the order holder."""

    host: str
    demand: list[DemandRow]
    losses: list[LossRow]


class EngineRow(msgspec.Struct, array_like=True):
    """Tell what an engine holds after an order.

    ``idle_s`` tells how long ago the holder sent its last order there.
    """

    instance: str
    born_ms: int
    order_count: int
    models: dict[str, list[str]]
    idle_s: float


class ExpectedRow(msgspec.Struct, array_like=True):
    """Tell in how many seconds a model will be ready."""

    service: str
    model: str
    ready_in_s: float


class Ledger(msgspec.Struct, tag='ledger'):
    """Tell all hosts what the order holder knows.

    ``hosts`` counts the registered hosts; ``is_last`` ends the tenure.
    ``leaving`` names the starts of targets that take no new requests.
    """

    host: str
    fence: int
    hosts: int
    engines: list[EngineRow]
    expected: list[ExpectedRow]
    losses: list[LossRow]
    leaving: list[tuple[str, int]]
    is_last: bool = False


Message = Digest | Ledger
_decoder: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(Message)
_encoder = msgspec.msgpack.Encoder()


def encode_message(message: Message) -> bytes:
    """Return the datagram of a message."""
    return _encoder.encode(message)


def decode_message(datagram: bytes) -> Message:
    """Read a datagram; raise ``msgspec.MsgspecError`` if it is broken."""
    return _decoder.decode(datagram)  # type: ignore[no-any-return]
