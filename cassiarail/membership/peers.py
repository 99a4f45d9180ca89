"""Hold the live controllers of a data centre."""

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
from cassiarail.membership.revisions import Revisions, hash_name, rank_pair

# Heartbeats advance every 6 s and take up to 6 s to arrive everywhere; a
# neighbour that fails to answer is suspected at once by announcement.
HEARTBEAT_S = 6.0
SUSPECT_AFTER_S = 18.0
REMOVE_AFTER_S = 36.0
_FORGET_AFTER_S = 600.0
_WATCHERS = 2
_LAST_HEARTBEAT = 0xFFFFFFFF
_PAIRING = 'pairing'


class MemberNews(NamedTuple):
    """Hold what a message tells about a member."""

    address: str
    incarnation: int
    heartbeat: int
    generation: int = 0
    age_s: float = 0


class MemberStatus(NamedTuple):
    """Tell which generation a node was last known to have in force."""

    address: str
    generation: int
    reachable: bool


class Peer:
    """Hold what is known of one member."""

    def __init__(self, news: MemberNews, heard_at: float) -> None:
        self.address = news.address
        self.key = hash_name(news.address)
        self.incarnation = news.incarnation
        self.heartbeat = news.heartbeat
        self.generation = news.generation
        self.heard_at = heard_at
        self.suspected = False
        # The revisions of the last change of identity and of heartbeat, and
        # the neighbours that hold this heartbeat.
        self.identity_revision = 0
        self.heartbeat_revision = 0
        self.holders: set[str] = set()


class PeerTable:
    """Merge news of members and decide who is live."""

    def __init__(
        self,
        address: str,
        clock: Clock,
        revisions: Revisions,
        incarnation: int,
    ) -> None:
        """Start with the own member only."""
        self._clock = clock
        self._revisions = revisions
        # ``None`` after a change, until the list is asked for.
        self._live: list[str] | None = None
        self.live_changed = anyio.Event()
        self._tombstones: dict[str, tuple[int, int, float]] = {}
        self.own = Peer(MemberNews(address, incarnation, 1), clock.monotonic())
        self.own.identity_revision = revisions.advance()
        self.own.heartbeat_revision = self.own.identity_revision
        self.peers: dict[str, Peer] = {address: self.own}
        self.by_key: dict[int, Peer] = {self.own.key: self.own}

    def beat(self, generation: int) -> None:
        """Advance the own heartbeat."""
        self.own.heartbeat += 1
        self.own.generation = generation
        self.own.heard_at = self._clock.monotonic()
        self.own.heartbeat_revision = self._revisions.advance()
        self.own.holders = set()

    def observe(self, news: MemberNews, source: str) -> bool:
        """Merge news of a member; tell whether they were new."""
        if news.address == self.own.address:
            return self._observe_own(news)
        if self._is_buried(news):
            return False
        peer = self.peers.get(news.address)
        if peer is None:
            self._add(news, source)
            return True
        known = (peer.incarnation, peer.heartbeat)
        told = (news.incarnation, news.heartbeat)
        if told <= known:
            if told == known:
                peer.holders.add(source)
            return False
        if news.incarnation > peer.incarnation:
            peer.incarnation = news.incarnation
            peer.identity_revision = self._revisions.advance()
        peer.heartbeat = news.heartbeat
        peer.generation = news.generation
        peer.heartbeat_revision = self._revisions.advance()
        peer.holders = {source}
        self._revive(peer)
        return True

    def hear_directly(self, news: MemberNews) -> None:
        """Merge the news that a member sent itself."""
        self.observe(news, news.address)
        peer = self.peers.get(news.address)
        if peer is not None and peer.incarnation == news.incarnation:
            peer.generation = max(peer.generation, news.generation)
            self._revive(peer)

    def suspect(self, address: str, incarnation: int, heartbeat: int) -> bool:
        """Suspect a member unless later news of it are known."""
        peer = self.peers.get(address)
        if peer is None or peer is self.own or peer.suspected:
            return False
        if (peer.incarnation, peer.heartbeat) > (incarnation, heartbeat):
            return False
        peer.suspected = True
        self._forget_live()
        emit_event(PEER_SUSPECTED, peer=address)
        return True

    def bury(self, address: str, incarnation: int, heartbeat: int) -> None:
        """Remove a member until later news of it arrive."""
        peer = self.peers.get(address)
        now = self._clock.monotonic()
        if peer is not self.own:
            self._tombstones[address] = (incarnation, heartbeat, now)
        if peer is None or peer is self.own:
            return
        if peer.incarnation <= incarnation:
            self.peers.pop(address)
            self.by_key.pop(peer.key, None)
            self._forget_live()

    def leave(self, address: str, incarnation: int) -> bool:
        """Remove a member that left; tell whether it was known."""
        peer = self.peers.get(address)
        if peer is None or peer.incarnation > incarnation:
            return False
        self.bury(address, incarnation, _LAST_HEARTBEAT)
        emit_event(PEER_LEFT, peer=address)
        return True

    def sweep(self) -> None:
        """Suspect and remove members by the age of their heartbeats."""
        now = self._clock.monotonic()
        for peer in tuple(self.peers.values()):
            if peer is self.own:
                continue
            age = now - peer.heard_at
            if age > REMOVE_AFTER_S:
                self.bury(peer.address, peer.incarnation, peer.heartbeat)
                emit_event(PEER_REMOVED, peer=peer.address, age_s=age)
            elif age > SUSPECT_AFTER_S:
                self.suspect(peer.address, peer.incarnation, peer.heartbeat)
        for address, (_, _, buried_at) in tuple(self._tombstones.items()):
            if now - buried_at > _FORGET_AFTER_S:
                self._tombstones.pop(address)

    def list_live(self) -> list[str]:
        """Return the live members by rank, the own one included.

        The list is shared; don't change it.
        """
        if self._live is None:
            live = [peer for peer in self.peers.values() if not peer.suspected]
            live.sort(key=_order_on_ring)
            self._live = [peer.address for peer in live]
        return self._live

    def is_watcher(self) -> bool:
        """Tell whether the own rank is one of the two lowest."""
        return self.own.address in self.list_live()[:_WATCHERS]

    def list_neighbours(self) -> list[str]:
        """Return the members that this node calls each second.

        These are the next one on the ring and, for one node of each pair, the
        other one. Pairs follow from a second random order, so that each node
        has exchanges with three neighbours; every further one would carry all
        news once more.
        """
        live = self.list_live()
        position = live.index(self.own.address)
        chosen = [live[(position + 1) % len(live)]]
        shuffled = sorted(live, key=_order_in_pairs)
        place = shuffled.index(self.own.address)
        if place % 2 == 0:
            chosen.extend(shuffled[place + 1 : place + 2])
        return [
            address
            for address in dict.fromkeys(chosen)
            if address != self.own.address
        ]

    def list_ring(self) -> list[str]:
        """Return both neighbours on the ring."""
        live = self.list_live()
        position = live.index(self.own.address)
        sides = (live[position - 1], live[(position + 1) % len(live)])
        return [
            address
            for address in dict.fromkeys(sides)
            if address != self.own.address
        ]

    def list_missing(self, seeds: Iterable[str]) -> list[str]:
        """Return the seeds that aren't live members, and suspected members."""
        live = set(self.list_live())
        missing = {seed for seed in seeds if seed not in live}
        missing.update(set(self.peers) - live)
        return sorted(missing)

    def describe_members(self, seeds: Iterable[str]) -> list[MemberStatus]:
        """Return all members, and the seeds that aren't among them."""
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

    def _forget_live(self) -> None:
        self._live = None
        self.live_changed.set()
        self.live_changed = anyio.Event()

    def _observe_own(self, news: MemberNews) -> bool:
        """Rise above what peers hold of a previous run at this address."""
        if news.incarnation <= self.own.incarnation:
            return False
        self.own.incarnation = news.incarnation + 1
        self.own.identity_revision = self._revisions.advance()
        return True

    def _is_buried(self, news: MemberNews) -> bool:
        incarnation, heartbeat, _ = self._tombstones.get(
            news.address,
            (0, 0, 0),
        )
        return (news.incarnation, news.heartbeat) <= (incarnation, heartbeat)

    def _add(self, news: MemberNews, source: str) -> None:
        peer = Peer(news, self._clock.monotonic() - news.age_s)
        peer.holders = {source}
        peer.identity_revision = self._revisions.advance()
        peer.heartbeat_revision = peer.identity_revision
        self.peers[news.address] = peer
        self.by_key[peer.key] = peer
        self._forget_live()
        self._tombstones.pop(news.address, None)
        emit_event(PEER_JOINED, peer=news.address)

    def _revive(self, peer: Peer) -> None:
        peer.heard_at = self._clock.monotonic()
        if peer.suspected:
            peer.suspected = False
            self._forget_live()
            emit_event(PEER_REFUTED, peer=peer.address)


def _order_on_ring(peer: Peer) -> tuple[int, str]:
    return (peer.key, peer.address)


def _order_in_pairs(address: str) -> int:
    return rank_pair(_PAIRING, address)
