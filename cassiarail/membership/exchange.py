"""Exchange digests with neighbours and forward announcements."""

import random
from collections.abc import Callable, Iterable

import anyio

from cassiarail.core.clock import Clock
from cassiarail.core.exceptions import PeerError
from cassiarail.core.lifecycle import Component
from cassiarail.membership.announcements import Announcer, BackgroundTasks
from cassiarail.membership.backends.base import PeerService, PeerTransport
from cassiarail.membership.digest import (
    DigestSynchronizer,
    decode_member,
    encode_member,
)
from cassiarail.membership.fingerprints import FingerprintTable
from cassiarail.membership.peers import HEARTBEAT_INTERVAL_S, PeerTable
from cassiarail.membership.ports import ConfigurationPort, LoadObservation
from cassiarail.membership.protos import peers_pb2 as pb
from cassiarail.membership.revisions import Revisions
from cassiarail.membership.targets import TargetChange, TargetTable

EXCHANGE_INTERVAL_S = 1.0
# Interval of exchanges with a seed or member that isn't live. They join new
# hosts and reconnect the sides of a partition after it ends.
_PROBE_INTERVAL_S = 2.0
_MILLISECONDS_PER_SECOND = 1000
# Larger bundles aren't flooded; nodes that lack them fetch them.
_MAX_FLOODED_BYTES = 16_384

ListSeeds = Callable[[], Iterable[str]]


class MembershipNode(Component, PeerService):
    """Track the live controllers and share their state."""

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
        """Initialize the node.

        ``list_seeds`` returns the addresses from settings and host list.
        """
        self.address = address
        self._list_seeds = list_seeds
        self._transport = transport
        self._configuration = configuration
        self._clock = clock
        self._generator = generator or random.Random()
        revisions = Revisions()
        started_ms = int(clock.now().timestamp() * _MILLISECONDS_PER_SECOND)
        self.peers = PeerTable(
            address,
            clock,
            revisions,
            started_ms,
        )
        self.targets = TargetTable(clock, revisions)
        self.fingerprints = FingerprintTable(revisions)
        self._digests = DigestSynchronizer(
            clock,
            revisions,
            self.peers,
            self.targets,
            self.fingerprints,
        )
        self._background_tasks = BackgroundTasks()
        self._announcer = Announcer(
            self.peers,
            transport,
            self._background_tasks,
            self._generator,
            self._record_failure,
        )
        self._last_probe_at = float(0)
        self.changed = anyio.Event()

    async def run(self) -> None:
        """Exchange digests each second until cancelled."""
        try:
            async with anyio.create_task_group() as group:
                self._background_tasks.group = group
                await self._run_exchange_loop()
        finally:
            self._background_tasks.group = None

    async def drain(self) -> None:
        """Announce to the neighbours that this controller leaves."""
        await self._announcer.announce_leave()

    async def handle_exchange(self, digest: pb.Digest) -> pb.Digest:
        """Merge the digest of a peer and return this node's digest."""
        self._merge_digest(digest)
        response = self._build_digest(digest.address)
        if digest.generation < self._configuration.generation:
            bundle = self._configuration.get_bundle(digest.generation)
            response.configuration.CopyFrom(bundle)
        return response

    async def handle_announcement(
        self,
        announcement: pb.Announcement,
    ) -> pb.Ack:
        """Apply and forward an announcement unless it was seen before."""
        if self._announcer.record_if_new(announcement):
            self._apply_announcement(announcement)
            self._announcer.relay(announcement)
        return pb.Ack(accepted=True)

    def record_observation(
        self,
        target: str,
        observation: LoadObservation,
        poll_started_at: float,
        *,
        is_first_poller: bool = True,
    ) -> None:
        """Record the response to a poll and announce urgent changes.

        Only the first poller of a target publishes its load regularly.
        """
        change = self.targets.record_observation(
            target,
            observation,
            poll_started_at,
            is_first_poller=is_first_poller,
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
        """Clear a suspect fingerprint after a success and announce it."""
        if self.fingerprints.record_success(name):
            self._announce_fingerprint(name)

    def lift_quarantine(self, name: str) -> None:
        """End a quarantine at the request of an operator."""
        if self.fingerprints.lift(name):
            self._announce_fingerprint(name)

    async def announce_configuration(self) -> None:
        """Announce the current configuration to the data centre."""
        generation = self._configuration.generation
        bundle = self._configuration.get_bundle(generation - 1)
        if bundle.ByteSize() > _MAX_FLOODED_BYTES:
            bundle = pb.ConfigurationBundle(generation=generation)
        self._announcer.announce(pb.Announcement(configuration=bundle))

    async def _run_exchange_loop(self) -> None:
        last_heartbeat_at = -HEARTBEAT_INTERVAL_S
        await self._clock.sleep(self._generator.uniform(0, EXCHANGE_INTERVAL_S))
        while True:
            started_at = self._clock.monotonic()
            generation = self._configuration.generation
            is_heartbeat_due = (
                started_at - last_heartbeat_at
                > HEARTBEAT_INTERVAL_S - EXCHANGE_INTERVAL_S / 2
            )
            if is_heartbeat_due or generation != self.peers.own.generation:
                self.peers.advance_heartbeat(generation)
                last_heartbeat_at = started_at
            self.peers.check_heartbeats()
            self._start_exchanges(started_at)
            self._notify()
            elapsed_s = self._clock.monotonic() - started_at
            await self._clock.sleep(max(0, EXCHANGE_INTERVAL_S - elapsed_s))

    def _start_exchanges(self, now: float) -> None:
        partners = self.peers.list_exchange_partners()
        if now - self._last_probe_at >= _PROBE_INTERVAL_S:
            self._last_probe_at = now
            candidates = self.peers.list_probe_candidates(self._list_seeds())
            if candidates:
                partners.append(self._generator.choice(candidates))
        for address in partners:
            if address != self.address:
                self._background_tasks.start(self._exchange_with, address)

    async def _exchange_with(self, address: str) -> None:
        try:
            response = await self._transport.exchange(
                address,
                self._build_digest(address),
            )
        except PeerError:
            self._record_failure(address)
            return
        self._merge_digest(response)
        if response.generation < self._configuration.generation:
            bundle = self._configuration.get_bundle(response.generation)
            announcement = pb.Announcement(configuration=bundle)
            await self._announcer.send_to(address, announcement)

    def _build_digest(self, address: str) -> pb.Digest:
        return self._digests.build(address, self._configuration.generation)

    def _record_failure(self, address: str) -> None:
        """Suspect a peer at its first failure; a live peer refutes it.

        A target whose first poller died needs another one within 3 s, which
        leaves no time for a second attempt.
        """
        peer = self.peers.peers.get(address)
        if peer is None:
            return
        if self.peers.suspect(address, peer.incarnation, peer.heartbeat):
            suspicion = encode_member(peer)
            self._announcer.announce(pb.Announcement(suspicion=suspicion))

    def _merge_digest(self, digest: pb.Digest) -> None:
        self._digests.merge(digest)
        if digest.HasField('configuration'):
            self._configuration.offer(digest.configuration)
        self._notify()

    def _apply_announcement(self, announcement: pb.Announcement) -> None:
        kind = announcement.WhichOneof('body')
        if kind == 'configuration':
            self._apply_configuration(announcement)
        elif kind == 'quarantine':
            self.fingerprints.merge(announcement.quarantine, '')
        elif kind == 'target':
            self.targets.merge_profile(announcement.target, '')
        else:
            self._apply_member(announcement)
        self._notify()

    def _apply_member(self, announcement: pb.Announcement) -> None:
        if announcement.HasField('suspicion'):
            self._apply_suspicion(announcement.suspicion)
        elif announcement.HasField('refutation'):
            self.peers.merge_member(decode_member(announcement.refutation), '')

    def _apply_configuration(self, announcement: pb.Announcement) -> None:
        bundle = announcement.configuration
        if self._configuration.offer(bundle):
            return
        if bundle.generation > self._configuration.generation:
            # The patch has another base; the origin has the whole document.
            self._background_tasks.start(
                self._exchange_with, announcement.origin
            )

    def _apply_suspicion(self, member: pb.Member) -> None:
        if member.address != self.address:
            if member.left:
                self.peers.handle_leave(member.address, member.incarnation)
            else:
                self.peers.suspect(
                    member.address,
                    member.incarnation,
                    member.heartbeat,
                )
            return
        own = self.peers.own
        if member.incarnation <= own.incarnation:
            self.peers.advance_heartbeat(self._configuration.generation)
            self._announcer.announce(
                pb.Announcement(refutation=encode_member(own))
            )

    def _announce_fingerprint(self, name: str) -> None:
        entry = self.fingerprints.encode(name)
        self._announcer.announce(pb.Announcement(quarantine=entry))
        self._notify()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()
