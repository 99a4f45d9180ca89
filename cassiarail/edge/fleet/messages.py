"""Define the datagrams between the hosts.

Hosts report their demand to the leader. The leader sends all hosts the
holdings of the engines and the entries of the registry, so that they needn't
watch the registry. State updates are numbered; a host that misses one requests
it again.
"""

from typing import Any

import msgspec

from cassiarail.limits.quota_rows import GrantRow, UseRow


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


class LoadRow(msgspec.Struct, array_like=True):
    """Report how many requests a target had ``age_ms`` ago."""

    instance: str
    requests: int
    age_ms: int


class FailedRequestRow(msgspec.Struct, array_like=True):
    """Report a request whose target may have crashed while running it."""

    fingerprint: str
    instance: str
    born_ms: int


class CrashRow(msgspec.Struct, array_like=True):
    """Report a target that crashed.

    ``lost_s`` is its age in seconds. ``parts`` maps the parts of the prompts
    that the target had not answered to how many seconds before the loss the
    oldest and the newest request with each was sent, and their most urgent
    rank.
    """

    instance: str
    born_ms: int
    lost_s: float
    parts: dict[str, tuple[float, float, int]]


class AnswerRow(msgspec.Struct, array_like=True):
    """Report that a target answered a request with these parts."""

    parts: list[str]
    answered_s: float


class LiftRow(msgspec.Struct, array_like=True):
    """Report that an operator has lifted the quarantine of some parts."""

    parts: list[str]
    lifted_s: float


class QuarantineRow(msgspec.Struct, array_like=True):
    """Report that the requests with all of some parts are refused.

    ``probe_in_s`` is the time until the next probe, or negative if there are
    no more.
    """

    parts: list[str]
    since_s: float
    last_crash_s: float
    crashes: int
    probes: int
    probe_in_s: float
    is_banned: bool


class CrashReport(msgspec.Struct, tag='crashes'):
    """Tell other hosts what is known of crashes; times are ages in seconds."""

    host: str
    crashes: list[CrashRow] = []
    answers: list[AnswerRow] = []
    lifts: list[LiftRow] = []
    quarantines: list[QuarantineRow] = []


class DemandReport(msgspec.Struct, tag='digest'):
    """Report a host's demand to the leader.

    ``heard`` is the last update received in the term of ``fence``. A host
    with ``is_behind`` set requests the updates after it. ``sent_at`` is the
    time of sending by the host's monotonic clock; it is set if the host
    requests a reply. ``leaving`` lists the targets that accept no requests.
    ``members`` identifies the list of hosts that the host has, or is 0.
    ``configuration`` is the version that the host applies, or 0. ``loads`` are
    those that targets have reported to the host since its last report.
    """

    host: str
    demand: list[DemandRow]
    losses: list[FailedRequestRow]
    fence: int = 0
    heard: int = 0
    is_behind: bool = False
    sent_at: float = 0
    leaving: list[tuple[str, int]] = []
    members: int = 0
    configuration: int = 0
    loads: list[LoadRow] = []


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


class MemberPage(msgspec.Struct, array_like=True):
    """List some of all hosts: four bytes of an address, two of a port each.

    ``digest`` identifies the complete list, of ``count`` pages.
    """

    digest: int
    index: int
    count: int
    addresses: bytes


class StateUpdate(msgspec.Struct, tag='ledger', omit_defaults=True):
    """Send all hosts the state that the leader knows.

    ``address`` is where the leader receives demand reports. ``number`` counts
    the updates with rows in a term; one without rows repeats the last number.
    ``sent_at`` is the time of sending by the leader's monotonic clock.
    ``contact_s`` is the age of the leader's state: its own watches have shown
    all changes until then. It is negative if the leader has listed nothing yet.
    ``digest`` identifies the entries that a host knows if it applied all rows
    so far, or is 0 while rows are left. ``configuration`` is the version of
    the configuration that the leader applies. ``reply_to`` is the ``sent_at``
    of the report that the update replies to, if any.
    ``hosts`` counts the registered hosts; ``is_last`` ends the term.
    ``leaving`` lists the identities of targets that accept no new requests.
    ``members`` lists some of the hosts, in turn. ``loads`` are the newest that
    targets have reported to any host.
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
    sent_at: float = 0
    digest: int = 0
    configuration: int = 0
    reply_to: float = 0
    targets: list[TargetRow] = []
    gone: list[RemovedRow] = []
    is_last: bool = False
    members: MemberPage | None = None
    loads: list[LoadRow] = []

    @property
    def has_rows(self) -> bool:
        """Return whether the update has a number of its own."""
        return bool(self.engines or self.targets or self.gone)


class ConfigurationCopy(msgspec.Struct, tag='configuration'):
    """Carry a configuration; ``document`` is compressed JSON."""

    version: int
    document: bytes


class QuotaReport(
    msgspec.Struct,
    tag='use',
    rename={'fence': 'f', 'started_ms': 'b', 'sent_ms': 's', 'rows': 'r'},
):
    """Report the use of client accounts on a host to the leader.

    ``fence`` is the leader's term. ``started_ms`` identifies the process and
    ``sent_ms`` the report; both are of the host's monotonic clock.
    """

    fence: int
    started_ms: int
    sent_ms: int
    rows: list[UseRow]


class QuotaGrants(
    msgspec.Struct,
    tag='grant',
    rename={'fence': 'f', 'sent_ms': 's', 'rows': 'r'},
):
    """Grant units of client accounts; ``sent_ms`` is that of the report."""

    fence: int
    sent_ms: int
    rows: list[GrantRow]


class Relay(msgspec.Struct, tag='relay'):
    """Carry a datagram that the receiver handles and forwards."""

    datagram: bytes
    addresses: list[str]


Message = (
    DemandReport
    | StateUpdate
    | CrashReport
    | ConfigurationCopy
    | QuotaReport
    | QuotaGrants
    | Relay
)
_decoder: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(Message)
_encoder = msgspec.msgpack.Encoder()


def encode_message(message: Message) -> bytes:
    """Return the datagram of a message."""
    return _encoder.encode(message)


def decode_message(datagram: bytes) -> Message:
    """Decode a datagram; raise ``msgspec.MsgspecError`` if it is malformed."""
    return _decoder.decode(datagram)  # type: ignore[no-any-return]
