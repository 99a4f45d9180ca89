"""Define the datagrams between the hosts.

Hosts report their demand to the order holder, and the holder tells all hosts
what the engines hold and what the registry lists, so that they needn't watch
it. Ledgers are numbered; a host that misses one asks for it.
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
    """Report a host's demand to the order holder.

    A host that misses ledgers asks for those after ``heard`` of a fence.
    """

    host: str
    demand: list[DemandRow]
    losses: list[LossRow]
    fence: int = 0
    heard: int = 0
    is_behind: bool = False


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


class TargetRow(msgspec.Struct, array_like=True):
    """Tell an entry of the registry; ``revision`` orders its versions."""

    instance: str
    revision: int
    born_ms: int
    service: str
    address: str
    data_centre: str
    slots: int
    is_leaving: bool
    models: dict[str, list[str]]
    in_memory: list[str]
    on_disk: list[str]


class GoneRow(msgspec.Struct, array_like=True):
    """Tell that an entry was removed from the registry."""

    instance: str
    revision: int


class Ledger(msgspec.Struct, tag='ledger'):
    """Tell all hosts what the order holder knows.

    ``address`` is where the holder takes digests. ``number`` counts the
    ledgers with rows in a tenure; one without rows repeats the last number.
    ``contact_s`` is how long ago the holder last heard from the store, or
    negative while its own watch of the registry fails.
    ``hosts`` counts the registered hosts; ``is_last`` ends the tenure.
    ``leaving`` names the starts of targets that take no new requests.
    """

    host: str
    address: str
    fence: int
    number: int
    contact_s: float
    hosts: int
    engines: list[EngineRow]
    expected: list[ExpectedRow]
    losses: list[LossRow]
    leaving: list[tuple[str, int]]
    targets: list[TargetRow] = []
    gone: list[GoneRow] = []
    is_last: bool = False

    @property
    def has_rows(self) -> bool:
        """Tell whether the ledger has a number of its own."""
        return bool(self.engines or self.targets or self.gone)


class Relay(msgspec.Struct, tag='relay'):
    """Carry a datagram that the receiver takes and passes on."""

    datagram: bytes
    addresses: list[str]


Message = Digest | Ledger | Relay
_decoder: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(Message)
_encoder = msgspec.msgpack.Encoder()


def encode_message(message: Message) -> bytes:
    """Return the datagram of a message."""
    return _encoder.encode(message)


def decode_message(datagram: bytes) -> Message:
    """Read a datagram; raise ``msgspec.MsgspecError`` if it is broken."""
    return _decoder.decode(datagram)  # type: ignore[no-any-return]
