"""Track the live controllers of a data centre."""

from collections.abc import Iterable
from typing import NamedTuple

import anyio

from cassiarail.core.clock import Clock
from cassiarail.core.events import emit_event
from cassiarail.membership.events import (
    PEER_JOINED,
    PEER_LEFT,
    PEER_REFUTED,
    PEER_REMOVED,
    PEER_SUSPECTED,
)
from cassiarail.membership.revisions import (
    Revisions,
    compute_rendezvous_weight,
    hash_name,
)

# Heartbeats advance every 6 s and take up to 6 s to reach every member. A
# neighbour that doesn't respond is suspected at once through an announcement.
HEARTBEAT_INTERVAL_S = 6.0
SUSPECT_AFTER_S = 18.0
REMOVE_AFTER_S = 36.0
_TOMBSTONE_TTL_S = 600.0
_WATCHER_COUNT = 2
_MAX_HEARTBEAT = 0xFFFFFFFF
_PAIRING_KEY = 'pairing'


class MemberUpdate(NamedTuple):
    """Hold the state of a member as reported in a message."""

    address: str
    incarnation: int
    heartbeat: int
    generation: int = 0
    age_s: float = 0


class MemberStatus(NamedTuple):
    """Hold the last known configuration generation of a node."""

    address: str
    generation: int
    reachable: bool


class Peer:
    """Hold the known state of one member."""

    def __init__(self, update: MemberUpdate, last_seen_at: float) -> None:
        self.address = update.address
        self.key = hash_name(update.address)
        self.incarnation = update.incarnation
        self.heartbeat = update.heartbeat
        self.generation = update.generation
        self.last_seen_at = last_seen_at
        self.suspected = False
        # Revisions of the last change of identity and of heartbeat, and the
        # neighbours known to hold this heartbeat.
        self.identity_revision = 0
        self.heartbeat_revision = 0
        self.holders: set[str] = set()


class PeerTable:
    """Merge updates of members and determine which are live."""

    def __init__(
        self,
        address: str,
        clock: Clock,
        revisions: Revisions,
        incarnation: int,
    ) -> None:
        """Initialize the table with this node as the only member."""
        self._clock = clock
        self._revisions = revisions
        # Cached list; ``None`` after a change, until the next request.
        self._live_members: list[str] | None = None
        self.live_changed = anyio.Event()
        self._tombstones: dict[str, tuple[int, int, float]] = {}
        self.own = Peer(
            MemberUpdate(address, incarnation, 1), clock.monotonic()
        )
        self.own.identity_revision = revisions.advance()
        self.own.heartbeat_revision = self.own.identity_revision
        self.peers: dict[str, Peer] = {address: self.own}
        self.by_key: dict[int, Peer] = {self.own.key: self.own}

    def advance_heartbeat(self, generation: int) -> None:
        """Advance this node's heartbeat."""
        self.own.heartbeat += 1
        self.own.generation = generation
        self.own.last_seen_at = self._clock.monotonic()
        self.own.heartbeat_revision = self._revisions.advance()
        self.own.holders = set()

    def merge_member(self, update: MemberUpdate, source: str) -> bool:
        """Merge an update of a member; return whether it was new."""
        if update.address == self.own.address:
            return self._merge_own(update)
        if self._is_tombstoned(update):
            return False
        peer = self.peers.get(update.address)
        if peer is None:
            self._add(update, source)
            return True
        known = (peer.incarnation, peer.heartbeat)
        received = (update.incarnation, update.heartbeat)
        if received <= known:
            if received == known:
                peer.holders.add(source)
            return False
        if update.incarnation > peer.incarnation:
            peer.incarnation = update.incarnation
            peer.identity_revision = self._revisions.advance()
        peer.heartbeat = update.heartbeat
        peer.generation = update.generation
        peer.heartbeat_revision = self._revisions.advance()
        peer.holders = {source}
        self._mark_alive(peer)
        return True

    def merge_sender(self, update: MemberUpdate) -> None:
        """Merge the update that a member sent about itself."""
        self.merge_member(update, update.address)
        peer = self.peers.get(update.address)
        if peer is not None and peer.incarnation == update.incarnation:
            peer.generation = max(peer.generation, update.generation)
            self._mark_alive(peer)

    def suspect(self, address: str, incarnation: int, heartbeat: int) -> bool:
        """Suspect a member unless a later update of it is known."""
        peer = self.peers.get(address)
        if peer is None or peer is self.own or peer.suspected:
            return False
        if (peer.incarnation, peer.heartbeat) > (incarnation, heartbeat):
            return False
        peer.suspected = True
        self._invalidate_live()
        emit_event(PEER_SUSPECTED, peer=address)
        return True

    def remove(self, address: str, incarnation: int, heartbeat: int) -> None:
        """Remove a member until a later update of it arrives."""
        peer = self.peers.get(address)
        now = self._clock.monotonic()
        if peer is not self.own:
            self._tombstones[address] = (incarnation, heartbeat, now)
        if peer is None or peer is self.own:
            return
        if peer.incarnation <= incarnation:
            self.peers.pop(address)
            self.by_key.pop(peer.key, None)
            self._invalidate_live()

    def handle_leave(self, address: str, incarnation: int) -> bool:
        """Remove a member that left; return whether it was known."""
        peer = self.peers.get(address)
        if peer is None or peer.incarnation > incarnation:
            return False
        self.remove(address, incarnation, _MAX_HEARTBEAT)
        emit_event(PEER_LEFT, peer=address)
        return True

    def check_heartbeats(self) -> None:
        """Suspect or remove members whose heartbeats are too old."""
        now = self._clock.monotonic()
        for peer in tuple(self.peers.values()):
            if peer is self.own:
                continue
            age = now - peer.last_seen_at
            if age > REMOVE_AFTER_S:
                self.remove(peer.address, peer.incarnation, peer.heartbeat)
                emit_event(PEER_REMOVED, peer=peer.address, age_s=age)
            elif age > SUSPECT_AFTER_S:
                self.suspect(peer.address, peer.incarnation, peer.heartbeat)
        for address, (_, _, removed_at) in tuple(self._tombstones.items()):
            if now - removed_at > _TOMBSTONE_TTL_S:
                self._tombstones.pop(address)

    def list_live(self) -> list[str]:
        """Return the live members in ring order, including this node.

        The list is cached and shared; callers must not modify it.
        """
        if self._live_members is None:
            live = [peer for peer in self.peers.values() if not peer.suspected]
            live.sort(key=_order_on_ring)
            self._live_members = [peer.address for peer in live]
        return self._live_members

    def is_watcher(self) -> bool:
        """Return whether this node watches the store for configurations.

        The first two live members on the ring do.
        """
        return self.own.address in self.list_live()[:_WATCHER_COUNT]

    def list_exchange_partners(self) -> list[str]:
        """Return the members with which this node exchanges digests.

        These are the next member on the ring and, for one node of each pair,
        the other one. Pairs are formed in a second pseudorandom order, so
        that each node takes part in exchanges with three neighbours. Each
        further neighbour would transfer every update once more.
        """
        live = self.list_live()
        ring_index = live.index(self.own.address)
        partners = [live[(ring_index + 1) % len(live)]]
        pair_order = sorted(live, key=_order_in_pairs)
        pair_index = pair_order.index(self.own.address)
        if pair_index % 2 == 0:
            partners.extend(pair_order[pair_index + 1 : pair_index + 2])
        return [
            address
            for address in dict.fromkeys(partners)
            if address != self.own.address
        ]

    def list_ring_neighbours(self) -> list[str]:
        """Return both neighbours on the ring."""
        live = self.list_live()
        ring_index = live.index(self.own.address)
        neighbours = (live[ring_index - 1], live[(ring_index + 1) % len(live)])
        return [
            address
            for address in dict.fromkeys(neighbours)
            if address != self.own.address
        ]

    def list_probe_candidates(self, seeds: Iterable[str]) -> list[str]:
        """Return the seeds that aren't live members, and suspected members."""
        live = set(self.list_live())
        candidates = {seed for seed in seeds if seed not in live}
        candidates.update(set(self.peers) - live)
        return sorted(candidates)

    def describe_members(self, seeds: Iterable[str]) -> list[MemberStatus]:
        """Return the status of all members and of seeds not among them."""
        known = [
            MemberStatus(peer.address, peer.generation, not peer.suspected)
            for peer in self.peers.values()
        ]
        unknown = set(seeds) - set(self.peers)
        known.extend(
            MemberStatus(address, generation=0, reachable=False)
            for address in unknown
        )
        return sorted(known)

    def _invalidate_live(self) -> None:
        self._live_members = None
        self.live_changed.set()
        self.live_changed = anyio.Event()

    def _merge_own(self, update: MemberUpdate) -> bool:
        """Raise the incarnation above that of an earlier process.

        Peers may still know a process that ran at the same address.
        """
        if update.incarnation <= self.own.incarnation:
            return False
        self.own.incarnation = update.incarnation + 1
        self.own.identity_revision = self._revisions.advance()
        return True

    def _is_tombstoned(self, update: MemberUpdate) -> bool:
        incarnation, heartbeat, _ = self._tombstones.get(
            update.address,
            (0, 0, 0),
        )
        return (update.incarnation, update.heartbeat) <= (
            incarnation,
            heartbeat,
        )

    def _add(self, update: MemberUpdate, source: str) -> None:
        peer = Peer(update, self._clock.monotonic() - update.age_s)
        peer.holders = {source}
        peer.identity_revision = self._revisions.advance()
        peer.heartbeat_revision = peer.identity_revision
        self.peers[update.address] = peer
        self.by_key[peer.key] = peer
        self._invalidate_live()
        self._tombstones.pop(update.address, None)
        emit_event(PEER_JOINED, peer=update.address)

    def _mark_alive(self, peer: Peer) -> None:
        peer.last_seen_at = self._clock.monotonic()
        if peer.suspected:
            peer.suspected = False
            self._invalidate_live()
            emit_event(PEER_REFUTED, peer=peer.address)


def _order_on_ring(peer: Peer) -> tuple[int, str]:
    return (peer.key, peer.address)


def _order_in_pairs(address: str) -> int:
    return compute_rendezvous_weight(_PAIRING_KEY, address)
