"""Convert routing snapshots and configuration to feed messages and back."""

import zlib
from collections.abc import Mapping

import msgspec

from cassiarail.core.exceptions import PeerRejectedError
from cassiarail.declarations.schema import ConfigurationDocument
from cassiarail.membership.protos import peers_pb2 as pb
from cassiarail.routing.snapshot import LoadReport, TargetKind, TargetState

# The object API stores values of at most 1 MB; a longer one is invalid.
_MAX_DOCUMENT_BYTES = 4_000_000


def encode_target(state: TargetState, now: float) -> pb.TargetRow:
    """Return the row of a target; ``now`` is the local monotonic time."""
    row = pb.TargetRow(
        name=state.name,
        service=state.service,
        kind=state.kind.value,
        data_centre=state.data_centre,
        address=state.address,
        instance=state.instance,
        leaving=state.leaving,
        models=sorted(state.models),
        adapters=sorted(state.adapters),
    )
    if state.load is not None:
        row.load.CopyFrom(_encode_load(state.load, now))
    return row


def decode_target(row: pb.TargetRow, now: float) -> TargetState:
    """Return the target of a row; raise ``PeerRejectedError`` if malformed."""
    try:
        kind = TargetKind(row.kind)
    except ValueError as error:
        raise PeerRejectedError(f'unknown kind {row.kind!r}') from error
    return TargetState(
        name=row.name,
        service=row.service,
        kind=kind,
        data_centre=row.data_centre,
        address=row.address,
        instance=row.instance,
        leaving=row.leaving,
        models=frozenset(row.models),
        adapters=frozenset(row.adapters),
        load=_decode_load(row.load, now) if row.HasField('load') else None,
    )


def find_changed(
    before: Mapping[str, TargetState],
    after: Mapping[str, TargetState],
) -> list[TargetState]:
    """Return the targets that are new or differ."""
    return [state for name, state in after.items() if before.get(name) != state]


def pack_document(document: ConfigurationDocument) -> bytes:
    """Return the compressed JSON of a configuration."""
    return zlib.compress(msgspec.json.encode(document))


def unpack_document(payload: bytes) -> ConfigurationDocument:
    """Return a configuration; raise ``PeerRejectedError`` if malformed."""
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(payload, _MAX_DOCUMENT_BYTES)
        document: ConfigurationDocument = msgspec.json.decode(text)
    except (zlib.error, msgspec.DecodeError) as error:
        raise PeerRejectedError('configuration is malformed') from error
    return document


def _encode_load(load: LoadReport, now: float) -> pb.LoadRow:
    return pb.LoadRow(
        sequence=load.sequence,
        running=load.running,
        queued=load.queued,
        batch_max=load.batch_max,
        kv_used_bytes=load.kv_used_bytes,
        kv_total_bytes=load.kv_total_bytes,
        age_s=max(0, now - load.received_at),
    )


def _decode_load(row: pb.LoadRow, now: float) -> LoadReport:
    return LoadReport(
        sequence=row.sequence,
        running=row.running,
        queued=row.queued,
        batch_max=row.batch_max,
        kv_used_bytes=row.kv_used_bytes,
        kv_total_bytes=row.kv_total_bytes,
        received_at=now - row.age_s,
    )
