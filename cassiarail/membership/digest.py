"""Build digests of unacknowledged changes, and merge those of peers.

Each node numbers the changes of its tables. A digest contains the entries that
changed after the revision acknowledged by the peer, except those that the peer
itself sent.
"""

import operator
from collections.abc import Callable
from typing import NamedTuple

from cassiarail.core.clock import Clock
from cassiarail.membership.fingerprints import FingerprintTable
from cassiarail.membership.peers import MemberUpdate, Peer, PeerTable
from cassiarail.membership.protos import peers_pb2 as pb
from cassiarail.membership.revisions import Revisions
from cassiarail.membership.targets import (
    TargetEntry,
    TargetTable,
)

# Limit per digest; the remainder follows in the next exchange.
MAX_DIGEST_ENTRIES = 400
_INCARNATION_TAG_MASK = 0x7F


class PeerSyncState:
    """Hold what a peer and this node know of each other's tables."""

    def __init__(self) -> None:
        self.acknowledged = 0
        # Entries up to this revision are sent even if the peer held them,
        # because it may have restarted since.
        self.resend_until = 0
        self.seen_revision = 0
        self.seen_incarnation = 0

    def record_acknowledged(self, revision: int, latest: int) -> None:
        """Record the revision that the peer holds, 0 for none."""
        self.acknowledged = revision
        if not revision:
            self.resend_until = latest

    def needs_entry(
        self, revision: int, address: str, holders: set[str]
    ) -> bool:
        """Return whether the peer at an address needs an entry."""
        if revision <= self.acknowledged:
            return False
        return revision <= self.resend_until or address not in holders


class _Change(NamedTuple):
    """Hold the revision of an entry and the function that appends it."""

    revision: int
    append: Callable[[pb.Digest], None]


class DigestSynchronizer:
    """Build and merge the digests of one node."""

    def __init__(
        self,
        clock: Clock,
        revisions: Revisions,
        peers: PeerTable,
        targets: TargetTable,
        fingerprints: FingerprintTable,
    ) -> None:
        """Initialize with the tables that digests synchronize."""
        self._clock = clock
        self._revisions = revisions
        self._peers = peers
        self._targets = targets
        self._fingerprints = fingerprints
        self._sync_states: dict[str, PeerSyncState] = {}

    def build(self, address: str, generation: int) -> pb.Digest:
        """Return the digest for a peer, with the current generation."""
        own = self._peers.own
        sync_state = self._sync_states.setdefault(address, PeerSyncState())
        digest = pb.Digest(
            address=own.address,
            incarnation=own.incarnation,
            heartbeat=own.heartbeat,
            generation=generation,
            revision=self._revisions.latest,
            acknowledged=sync_state.seen_revision,
            acknowledged_incarnation=sync_state.seen_incarnation,
        )
        changes = self._list_changes(sync_state, address)
        if len(changes) > MAX_DIGEST_ENTRIES:
            changes.sort(key=operator.itemgetter(0))
            changes = changes[:MAX_DIGEST_ENTRIES]
            digest.revision = changes[-1].revision
        for change in changes:
            change.append(digest)
        return digest

    def merge(self, digest: pb.Digest) -> None:
        """Merge the digest of a peer.

        A heartbeat of an unknown member or a load of an unknown target means
        that an entry was lost; this node then requests the peer's whole tables.
        """
        source = digest.address
        sync_state = self._sync_states.setdefault(source, PeerSyncState())
        own = self._peers.own
        is_current = digest.acknowledged_incarnation == own.incarnation
        sync_state.record_acknowledged(
            digest.acknowledged if is_current else 0,
            self._revisions.latest,
        )
        self._peers.merge_sender(_decode_sender(digest))
        complete = self._merge_members(digest, source)
        for profile in digest.profiles:
            self._targets.merge_profile(profile, source)
        complete &= self._targets.merge_loads(digest.loads, source)
        for entry in digest.quarantine:
            self._fingerprints.merge(entry, source)
        sync_state.seen_incarnation = digest.incarnation
        sync_state.seen_revision = digest.revision if complete else 0

    def _list_changes(
        self, sync_state: PeerSyncState, address: str
    ) -> list[_Change]:
        changes: list[_Change] = []
        now = self._clock.monotonic()
        for peer in self._peers.peers.values():
            if peer.suspected:
                # A joining node would add it as a live member.
                continue
            if peer.identity_revision > sync_state.acknowledged:
                changes.append(_make_identity_change(peer, now))
            elif sync_state.needs_entry(
                peer.heartbeat_revision, address, peer.holders
            ):
                changes.append(_make_heartbeat_change(peer))
        for entry in self._targets.entries.values():
            changes.extend(
                self._list_target_changes(entry, sync_state, address)
            )
        for name, fingerprint in self._fingerprints.list_entries():
            if sync_state.needs_entry(
                fingerprint.revision, address, {fingerprint.source}
            ):
                append = _AppendFingerprint(self._fingerprints, name)
                changes.append(_Change(fingerprint.revision, append))
        return changes

    def _list_target_changes(
        self,
        entry: TargetEntry,
        sync_state: PeerSyncState,
        address: str,
    ) -> list[_Change]:
        changes = []
        if sync_state.needs_entry(
            entry.profile_revision, address, entry.profile_holders
        ):
            append = _AppendProfile(entry)
            changes.append(_Change(entry.profile_revision, append))
        if sync_state.needs_entry(
            entry.load_revision, address, entry.load_holders
        ):
            changes.append(
                _Change(
                    entry.load_revision,
                    _AppendLoad(self._targets, entry),
                ),
            )
        return changes

    def _merge_members(self, digest: pb.Digest, source: str) -> bool:
        for member in digest.members:
            if member.left:
                self._peers.handle_leave(member.address, member.incarnation)
            else:
                self._peers.merge_member(decode_member(member), source)
        columns = digest.heartbeats
        rows = zip(
            columns.members,
            columns.heartbeats,
            columns.tags,
            columns.behind,
            strict=False,
        )
        complete = True
        for key, heartbeat, tag, behind in rows:
            peer = self._peers.by_key.get(key)
            if peer is None:
                complete = False
            elif peer.incarnation & _INCARNATION_TAG_MASK == tag:
                update = MemberUpdate(
                    peer.address,
                    peer.incarnation,
                    heartbeat,
                    digest.generation - behind,
                )
                self._peers.merge_member(update, source)
        return complete


def decode_member(member: pb.Member) -> MemberUpdate:
    """Return the update contained in a member message."""
    return MemberUpdate(
        member.address,
        member.incarnation,
        member.heartbeat,
        member.generation,
        member.age_s,
    )


def encode_member(peer: Peer) -> pb.Member:
    """Return the message that describes a member."""
    return pb.Member(
        address=peer.address,
        incarnation=peer.incarnation,
        heartbeat=peer.heartbeat,
        generation=peer.generation,
    )


def _decode_sender(digest: pb.Digest) -> MemberUpdate:
    return MemberUpdate(
        digest.address,
        digest.incarnation,
        digest.heartbeat,
        digest.generation,
    )


def _make_identity_change(peer: Peer, now: float) -> _Change:
    return _Change(peer.identity_revision, _AppendMember(peer, now))


def _make_heartbeat_change(peer: Peer) -> _Change:
    return _Change(peer.heartbeat_revision, _AppendHeartbeat(peer))


class _AppendMember:
    def __init__(self, peer: Peer, now: float) -> None:
        self._peer = peer
        self._now = now

    def __call__(self, digest: pb.Digest) -> None:
        member = encode_member(self._peer)
        member.age_s = int(max(0, self._now - self._peer.last_seen_at))
        digest.members.append(member)


class _AppendHeartbeat:
    def __init__(self, peer: Peer) -> None:
        self._peer = peer

    def __call__(self, digest: pb.Digest) -> None:
        columns = digest.heartbeats
        columns.members.append(self._peer.key)
        columns.heartbeats.append(self._peer.heartbeat)
        columns.tags.append(self._peer.incarnation & _INCARNATION_TAG_MASK)
        columns.behind.append(digest.generation - self._peer.generation)


class _AppendProfile:
    def __init__(self, entry: TargetEntry) -> None:
        self._entry = entry

    def __call__(self, digest: pb.Digest) -> None:
        digest.profiles.append(self._entry.profile)


class _AppendLoad:
    def __init__(self, targets: TargetTable, entry: TargetEntry) -> None:
        self._targets = targets
        self._entry = entry

    def __call__(self, digest: pb.Digest) -> None:
        self._targets.append_load(digest.loads, self._entry)


class _AppendFingerprint:
    def __init__(self, fingerprints: FingerprintTable, name: str) -> None:
        self._fingerprints = fingerprints
        self._name = name

    def __call__(self, digest: pb.Digest) -> None:
        digest.quarantine.append(self._fingerprints.encode(self._name))
