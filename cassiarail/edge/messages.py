"""Define the datagrams between the hosts.

Hosts report their demand to the leader. The leader sends all hosts the
holdings of the engines and the entries of the registry, so that they needn't
watch the registry. State updates are numbered; a host that misses one requests
it again.
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


class FailedRequestRow(msgspec.Struct, array_like=True):
    """Report a request whose target may have crashed while running it."""

    fingerprint: str
    instance: str
    born_ms: int


class DemandReport(msgspec.Struct, tag='digest'):
    """Report a host's demand to the leader.

    ``heard`` is the last update received in the term of ``fence``. A host
    with ``is_behind`` set requests the updates after it.
    """

    host: str
    demand: list[DemandRow]
    losses: list[FailedRequestRow]
    fence: int = 0
    heard: int = 0
    is_behind: bool = False


class EngineRow(msgspec.Struct, array_like=True):
    """Describe the holdings of an engine after an order.

    ``idle_s`` is the time since the leader sent it the last order.
    """

    instance: str
    born_ms: int
    order_count: int
    models: dict[str, list[str]]
    idle_s: float


class ExpectedRow(msgspec.Struct, array_like=True):
    """Announce in how many seconds a model will be ready."""

    service: str
    model: str
    ready_in_s: float


class TargetRow(msgspec.Struct, array_like=True):
    """Describe an entry of the registry; ``revision`` orders its versions."""

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


class RemovedRow(msgspec.Struct, array_like=True):
    """Announce that an entry was removed from the registry."""

    instance: str
    revision: int


class StateUpdate(msgspec.Struct, tag='ledger'):
    """Send all hosts the state that the leader knows.

    ``address`` is where the leader receives demand reports. ``number`` counts
    the updates with rows in a term; one without rows repeats the last number.
    ``contact_s`` is how long ago the leader last received a response of the
    store, or negative while its own watch of the registry fails.
    ``hosts`` counts the registered hosts; ``is_last`` ends the term.
    ``leaving`` lists the identities of targets that accept no new requests.
    """

    host: str
    address: str
    fence: int
    number: int
    contact_s: float
    hosts: int
    engines: list[EngineRow]
    expected: list[ExpectedRow]
    losses: list[FailedRequestRow]
    leaving: list[tuple[str, int]]
    targets: list[TargetRow] = []
    gone: list[RemovedRow] = []
    is_last: bool = False

    @property
    def has_rows(self) -> bool:
        """Return whether the update has a number of its own."""
        return bool(self.engines or self.targets or self.gone)


class Relay(msgspec.Struct, tag='relay'):
    """Carry a datagram that the receiver handles and forwards."""

    datagram: bytes
    addresses: list[str]


Message = DemandReport | StateUpdate | Relay
_decoder: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(Message)
_encoder = msgspec.msgpack.Encoder()


def encode_message(message: Message) -> bytes:
    """Return the datagram of a message."""
    return _encoder.encode(message)


def decode_message(datagram: bytes) -> Message:
    """Decode a datagram; raise ``msgspec.MsgspecError`` if it is malformed."""
    return _decoder.decode(datagram)  # type: ignore[no-any-return]
