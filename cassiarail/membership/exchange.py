"""Exchange digests with neighbours and forward announcements."""

import random
from collections.abc import Callable, Iterable

import anyio

from cassiarail.core.clock import Clock
from cassiarail.core.exceptions import PeerError
from cassiarail.core.lifecycle import Component
from cassiarail.membership.announcements import Announcer, Background
from cassiarail.membership.backends.base import PeerService, PeerTransport
from cassiarail.membership.digest import Digests, read_member, write_member
from cassiarail.membership.fingerprints import FingerprintTable
from cassiarail.membership.peers import HEARTBEAT_S, PeerTable
from cassiarail.membership.ports import ConfigurationPort, LoadObservation
from cassiarail.membership.protos import peers_pb2 as pb
from cassiarail.membership.revisions import Revisions
from cassiarail.membership.targets import TargetChange, TargetTable

EXCHANGE_S = 1.0
# A member that isn't live is tried this often, which joins new hosts and
# heals partitions.
_PROBE_S = 2.0
_MILLISECONDS = 1000
# Larger bundles are fetched by those that lack them instead of being flooded.
_MAX_FLOODED_BYTES = 16_384

ListSeeds = Callable[[], Iterable[str]]


class MembershipNode(Component, PeerService):
    """Know the live controllers and share what they know."""

    name = 'membership'

    def __init__(
        self,
        address: str,
        list_seeds: ListSeeds,
        transport: PeerTransport,
        configuration: ConfigurationPort,
        clock: Clock,
        generator: random.Random | None = None,
    ) -> None:
        """Take the addresses that settings and host list give as seeds."""
        self.address = address
        self._list_seeds = list_seeds
        self._transport = transport
        self._configuration = configuration
        self._clock = clock
        self._generator = generator or random.Random()
        revisions = Revisions()
        started_ms = int(clock.now().timestamp() * _MILLISECONDS)
        self.peers = PeerTable(
            address,
            clock,
            revisions,
            started_ms,
        )
        self.targets = TargetTable(clock, revisions)
        self.fingerprints = FingerprintTable(revisions)
        self._digests = Digests(
            clock,
            revisions,
            self.peers,
            self.targets,
            self.fingerprints,
        )
        self._background = Background()
        self._announcer = Announcer(
            self.peers,
            transport,
            self._background,
            self._generator,
            self._note_failure,
        )
        self._probed_at = float(0)
        self.changed = anyio.Event()

    async def run(self) -> None:
        """Exchange digests each second until cancelled."""
        try:
            async with anyio.create_task_group() as group:
                self._background.group = group
                await self._tick_forever()
        finally:
            self._background.group = None

    async def drain(self) -> None:
        """Tell the neighbours that this controller leaves."""
        await self._announcer.send_farewell()

    async def handle_exchange(self, digest: pb.Digest) -> pb.Digest:
        """Merge the digest of a peer and return the own one."""
        self._merge(digest)
        answer = self._build(digest.address)
        if digest.generation < self._configuration.generation:
            bundle = self._configuration.bundle_for(digest.generation)
            answer.configuration.CopyFrom(bundle)
        return answer

    async def handle_announcement(
        self,
        announcement: pb.Announcement,
    ) -> pb.Ack:
        """Take and forward an announcement."""
        if self._announcer.is_new(announcement):
            self._take(announcement)
            self._announcer.relay(announcement)
        return pb.Ack(accepted=True)

    def observe_load(
        self,
        target: str,
        observation: LoadObservation,
        started_at: float,
        *,
        is_first: bool = True,
    ) -> None:
        """Take the answer to a poll and announce what can't wait.

        Only the first poller of a target spreads its load regularly.
        """
        change = self.targets.observe(
            target,
            observation,
            started_at,
            is_first=is_first,
        )
        if change is TargetChange.ANNOUNCE:
            entry = self.targets.find(target)
            if entry is not None:
                self._announcer.announce(pb.Announcement(target=entry.profile))
        self._notify()

    def record_crash(self, name: str, target: str, instance: str) -> None:
        """Record and announce a request that was in flight at a crash."""
        if self.fingerprints.record_crash(name, target, instance):
            self._announce_fingerprint(name)

    def record_success(self, name: str) -> None:
        """Clear a suspected request and announce it."""
        if self.fingerprints.record_success(name):
            self._announce_fingerprint(name)

    def lift_quarantine(self, name: str) -> None:
        """End a quarantine by decision of an operator."""
        if self.fingerprints.lift(name):
            self._announce_fingerprint(name)

    async def announce_configuration(self) -> None:
        """Announce the generation in force to the data centre."""
        generation = self._configuration.generation
        bundle = self._configuration.bundle_for(generation - 1)
        if bundle.ByteSize() > _MAX_FLOODED_BYTES:
            bundle = pb.ConfigurationBundle(generation=generation)
        self._announcer.announce(pb.Announcement(configuration=bundle))

    async def _tick_forever(self) -> None:
        beaten_at = -HEARTBEAT_S
        await self._clock.sleep(self._generator.uniform(0, EXCHANGE_S))
        while True:
            started_at = self._clock.monotonic()
            generation = self._configuration.generation
            is_due = started_at - beaten_at > HEARTBEAT_S - EXCHANGE_S / 2
            if is_due or generation != self.peers.own.generation:
                self.peers.beat(generation)
                beaten_at = started_at
            self.peers.sweep()
            self._begin_exchanges(started_at)
            self._notify()
            passed = self._clock.monotonic() - started_at
            await self._clock.sleep(max(0, EXCHANGE_S - passed))

    def _begin_exchanges(self, now: float) -> None:
        partners = self.peers.list_neighbours()
        if now - self._probed_at >= _PROBE_S:
            self._probed_at = now
            missing = self.peers.list_missing(self._list_seeds())
            if missing:
                partners.append(self._generator.choice(missing))
        for address in partners:
            if address != self.address:
                self._background.start(self._exchange_with, address)

    async def _exchange_with(self, address: str) -> None:
        try:
            answer = await self._transport.exchange(
                address,
                self._build(address),
            )
        except PeerError:
            self._note_failure(address)
            return
        self._merge(answer)
        if answer.generation < self._configuration.generation:
            bundle = self._configuration.bundle_for(answer.generation)
            announcement = pb.Announcement(configuration=bundle)
            await self._announcer.send_to(address, announcement)

    def _build(self, address: str) -> pb.Digest:
        return self._digests.build(address, self._configuration.generation)

    def _note_failure(self, address: str) -> None:
        """Suspect a peer at its first failure; one that lives refutes it.

        A target whose first poller died must get another within 3 s, which
        leaves no time for a second try.
        """
        peer = self.peers.peers.get(address)
        if peer is None:
            return
        if self.peers.suspect(address, peer.incarnation, peer.heartbeat):
            suspicion = write_member(peer)
            self._announcer.announce(pb.Announcement(suspicion=suspicion))

    def _merge(self, digest: pb.Digest) -> None:
        self._digests.merge(digest)
        if digest.HasField('configuration'):
            self._configuration.offer(digest.configuration)
        self._notify()

    def _take(self, announcement: pb.Announcement) -> None:
        kind = announcement.WhichOneof('body')
        if kind == 'configuration':
            self._take_configuration(announcement)
        elif kind == 'quarantine':
            self.fingerprints.merge(announcement.quarantine, '')
        elif kind == 'target':
            self.targets.merge_profile(announcement.target, '')
        else:
            self._take_member(announcement)
        self._notify()

    def _take_member(self, announcement: pb.Announcement) -> None:
        if announcement.HasField('suspicion'):
            self._take_suspicion(announcement.suspicion)
        elif announcement.HasField('refutation'):
            self.peers.observe(read_member(announcement.refutation), '')

    def _take_configuration(self, announcement: pb.Announcement) -> None:
        bundle = announcement.configuration
        if self._configuration.offer(bundle):
            return
        if bundle.generation > self._configuration.generation:
            # The patch has another base; the origin holds the whole document.
            self._background.start(self._exchange_with, announcement.origin)

    def _take_suspicion(self, member: pb.Member) -> None:
        if member.address != self.address:
            if member.left:
                self.peers.leave(member.address, member.incarnation)
            else:
                self.peers.suspect(
                    member.address,
                    member.incarnation,
                    member.heartbeat,
                )
            return
        own = self.peers.own
        if member.incarnation <= own.incarnation:
            self.peers.beat(self._configuration.generation)
            self._announcer.announce(
                pb.Announcement(refutation=write_member(own))
            )

    def _announce_fingerprint(self, name: str) -> None:
        entry = self.fingerprints.encode(name)
        self._announcer.announce(pb.Announcement(quarantine=entry))
        self._notify()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()
