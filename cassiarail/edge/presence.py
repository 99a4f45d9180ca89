"""Tell the other hosts what this one knows and needs."""

import asyncio
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

from cassiarail.core.clock import Clock
from cassiarail.core.events import emit_event
from cassiarail.core.lifecycle import Component
from cassiarail.edge.broadcast import Broadcaster
from cassiarail.edge.changes import ChangeLog
from cassiarail.edge.demand import DemandMeter
from cassiarail.edge.election import LeaderElection
from cassiarail.edge.events import PEER_UNREADABLE, TARGET_LEAVING
from cassiarail.edge.fleet_demand import FleetDemand, list_rows
from cassiarail.edge.followers import log_target
from cassiarail.edge.leader import PlacementLeader
from cassiarail.edge.messages import (
    Digest,
    EngineRow,
    ExpectedRow,
    Ledger,
    LossRow,
    Message,
    Relay,
    TargetRow,
)
from cassiarail.edge.peers import PeerLink
from cassiarail.edge.rows import read_holdings, read_target
from cassiarail.edge.sent_rows import SentRows
from cassiarail.edge.state_updates import REORDER_S, StateUpdateReceiver
from cassiarail.edge.suspects import CrashSuspects
from cassiarail.edge.targets import Target, TargetDirectory
from cassiarail.edge.traffic import PeerTraffic, TrafficKind
from cassiarail.edge.waiting import PlacementWaits
from cassiarail.http1.pool import Address

_REPORT_INTERVAL_S = 0.5
# In a large fleet each host reports half as often, so that the link of the
# order holder carries all reports.
_LARGE_FLEET = 20
_LARGE_FLEET_REPORTS = 2
# Losses are repeated for this long, so that a lost datagram doesn't matter.
_LOSSES_WITHIN_S = 10.0
_MAX_LOSSES = 20
# What a wait for an urgent datagram gathers, while the link is free.
_GATHER_S = 0.002
# A host that misses ledgers is answered while the link is free within this.
_BUSY_S = 0.25
# All engines are told again at most this often for hosts that miss too much.
_RETELL_S = 2.0
# Rows of one datagram; more would not fit in one packet.
_MAX_ROWS = 8
_HOLDER_SILENT_S = 2.0


class PresenceParts(NamedTuple):
    """Hold what a host reports from and to.

    ``store_contact_s`` tells how long ago the store answered, or is negative
    while the registry isn't followed.
    """

    meter: DemandMeter
    fleet_demand: FleetDemand
    suspects: CrashSuspects
    directory: TargetDirectory
    waits: PlacementWaits
    broadcaster: Broadcaster
    feed: StateUpdateReceiver
    store_contact_s: Callable[[], float]
    count_hosts: Callable[[], int]
    traffic: PeerTraffic


class Presence(Component):
    """Send digests to the order holder, or its ledger to all hosts."""

    name = 'presence'

    def __init__(
        self,
        host: str,
        link: PeerLink,
        parts: PresenceParts,
        clock: Clock,
    ) -> None:
        self.host_count = 0
        self.leader: PlacementLeader | None = None
        self.election: LeaderElection | None = None
        self.on_directory_change: Callable[[], None] = parts.waits.wake
        self._host = host
        self._parts = parts
        self._clock = clock
        self._link = link
        link.on_message = self.take_message
        self._changes = ChangeLog(
            parts.directory,
            self._is_holder,
            self.report_soon,
            clock,
        )
        self._holder_address: Address | None = None
        self._holder_heard_at = float('-inf')
        self._expected: dict[tuple[str, str], float] = {}
        self._is_urgent = False
        self._reports = 0
        self._sent_rows = SentRows()
        self._is_waiting_for_ledger = False
        self._retold_at = float('-inf')

    async def start(self) -> None:
        """Bind the address of peers."""
        await self._link.start()

    async def run(self) -> None:
        """Report regularly until cancelled."""
        while True:
            self._reports += 1
            is_large = self.host_count > _LARGE_FLEET
            if (
                self._is_holder()
                or not is_large
                or not self._reports % _LARGE_FLEET_REPORTS
            ):
                self.report(is_regular=True)
            await self._clock.sleep(_REPORT_INTERVAL_S)

    async def stop(self) -> None:
        """Release the address."""
        self._link.stop()

    def report_soon(self) -> None:
        """Report as soon as the link has carried what was sent before."""
        if not self._is_urgent:
            self._is_urgent = True
            loop = asyncio.get_running_loop()
            loop.call_later(
                max(_GATHER_S, self._parts.traffic.delay_s()),
                self.report,
            )

    def report(self, *, is_regular: bool = False) -> None:
        """Send what has changed; regularly, also a part of the rest."""
        self._is_urgent = False
        digest = self._make_digest()
        if self._is_holder():
            self._parts.fleet_demand.take(digest)
            self._send_ledgers(is_regular=is_regular)
        elif self._holder_address is not None:
            self._link.send(
                digest,
                self._holder_address,
                TrafficKind.DIGEST,
            )

    def begin_term(self) -> None:
        """Tell all hosts everything; this one gives orders from now on."""
        self._parts.broadcaster.begin()
        self._sent_rows.clear()
        self._changes.clear()
        self._changes.note_all()
        self.report()

    def resign(self) -> None:
        """Tell the hosts that this one gives no more orders."""
        if self.leader is None or self.election is None:
            return
        rows = self.leader.list_rows()
        # Datagrams may be lost; a second copy makes that rare.
        for ledger in (self._make_ledger(rows), self._make_ledger(rows)):
            ledger.is_last = True
            ledger.contact_s = -1
            self._parts.broadcaster.send(ledger)

    def seconds_until(self, service: str, model: str) -> float | None:
        """Return when a model that is being loaded will be ready."""
        ready_at = self._expected.get((service, model))
        if ready_at is None:
            return None
        return max(0, ready_at - self._clock.monotonic())

    def has_leader(self) -> bool:
        """Tell whether some host gives orders."""
        if self._is_holder():
            return True
        age = self._clock.monotonic() - self._holder_heard_at
        return age < _HOLDER_SILENT_S

    def take_message(self, message: Message, sender: Address) -> None:
        """Take a message of another host."""
        if isinstance(message, Relay):
            self._link.pass_on(message.datagram, message.addresses, sender)
            return
        for loss in message.losses:
            self._parts.suspects.record(
                loss.fingerprint,
                (loss.instance, loss.born_ms),
            )
        if isinstance(message, Digest):
            self._take_digest(message, sender)
        else:
            self._take_ledger(message)

    def _take_digest(self, digest: Digest, sender: Address) -> None:
        self._parts.fleet_demand.take(digest)
        if self.leader is not None:
            self.leader.wake()
        broadcaster = self._parts.broadcaster
        broadcaster.note_heard(sender)
        is_busy = self._parts.traffic.delay_s() > _BUSY_S
        if is_busy or not (self._is_holder() and digest.is_behind):
            return
        fence = self.election.fence if self.election else 0
        heard = digest.heard if digest.fence == fence else 0
        now = self._clock.monotonic()
        is_sent = broadcaster.resend(heard, sender)
        if not is_sent and now - self._retold_at >= _RETELL_S:
            # The host's own watch shows the targets; only the ledgers tell
            # which adapters engines hold.
            self._retold_at = now
            self._sent_rows.clear()

    def _take_ledger(self, ledger: Ledger) -> None:
        feed = self._parts.feed
        if ledger.fence < feed.fence or ledger.host == self._host:
            return
        feed.receive(ledger)
        self.host_count = max(self.host_count, ledger.hosts)
        if self.election is not None:
            if ledger.is_last:
                self.election.hear_resignation(
                    ledger.fence,
                    {row.instance: row.idle_s for row in ledger.engines},
                )
            else:
                self.election.hear_holder()
        self._holder_address = Address.parse(ledger.address)
        self._holder_heard_at = self._clock.monotonic()
        self._set_expected(ledger.expected)
        self._take_rows(ledger)
        if feed.has_gap and not self._is_waiting_for_ledger:
            self._is_waiting_for_ledger = True
            loop = asyncio.get_running_loop()
            loop.call_later(REORDER_S + _GATHER_S, self._ask_for_missing)

    def _ask_for_missing(self) -> None:
        self._is_waiting_for_ledger = False
        if self._parts.feed.is_behind:
            self.report_soon()

    def _take_rows(self, ledger: Ledger) -> None:
        directory = self._parts.directory
        for identity in ledger.leaving:
            directory.mark_leaving(identity)
        for target in _read_targets(ledger.targets):
            log_target(directory, target, 'ledger')
            directory.put(target)
        for gone in ledger.gone:
            if directory.drop(gone.instance, gone.revision):
                emit_event(
                    TARGET_LEAVING,
                    target=gone.instance,
                    reason='entry removed',
                    revision=gone.revision,
                    source='ledger',
                )
        for row in ledger.engines:
            directory.learn_holdings(
                (row.instance, row.born_ms),
                read_holdings(row),
            )
        if ledger.targets or ledger.gone:
            self.on_directory_change()
        elif ledger.engines:
            self._parts.waits.wake()

    def _make_digest(self) -> Digest:
        feed = self._parts.feed
        return Digest(
            self._host,
            list_rows(self._parts.meter.measure(), self._parts.waits),
            self._list_losses(),
            feed.fence,
            feed.last_received,
            feed.begin_asking(),
        )

    def _send_ledgers(self, *, is_regular: bool) -> None:
        """Send one ledger, and another one later if that didn't tell all."""
        if self.leader is None:
            return
        due = self._reports if is_regular else None
        engines = self._sent_rows.choose(self.leader.list_rows(), due)
        changes = self._changes.take(_MAX_ROWS)
        self.leader.wake()
        self._set_expected(self.leader.list_expected())
        if is_regular or engines or changes.targets or changes.gone:
            ledger = self._make_ledger(engines[:_MAX_ROWS])
            ledger.targets = changes.targets
            ledger.gone = changes.gone
            if is_regular:
                ledger.losses = self._list_losses()
            self._sent_rows.note(ledger.engines)
            self._parts.broadcaster.send(ledger)
            self._parts.waits.wake()
        if len(engines) > _MAX_ROWS or not self._changes.is_empty:
            self.report_soon()

    def _make_ledger(self, rows: list[EngineRow]) -> Ledger:
        holder = self.leader
        hosts = self._parts.count_hosts()
        self.host_count = max(self.host_count, hosts)
        return Ledger(
            self._host,
            str(self._link.address),
            self.election.fence if self.election else 0,
            0,
            self._contact_s(),
            hosts,
            rows,
            holder.list_expected() if holder else [],
            [],
            self._parts.directory.list_leaving(),
        )

    def _contact_s(self) -> float:
        """Return how old the picture is that this host has told.

        A change that waits for the link makes it older.
        """
        contact_s = self._parts.store_contact_s()
        if contact_s < 0:
            return contact_s
        return max(contact_s, self._changes.waiting_s())

    def _set_expected(self, rows: Iterable[ExpectedRow]) -> None:
        now = self._clock.monotonic()
        self._expected = {
            (row.service, row.model): now + row.ready_in_s for row in rows
        }

    def _is_holder(self) -> bool:
        return self.leader is not None and self.leader.is_leader

    def _list_losses(self) -> list[LossRow]:
        recent = self._parts.suspects.list_recent(_LOSSES_WITHIN_S)
        return [
            LossRow(loss.fingerprint, *loss.target)
            for loss, _index in zip(recent, range(_MAX_LOSSES), strict=False)
        ]


def _read_targets(rows: Iterable[TargetRow]) -> Iterator[Target]:
    for row in rows:
        try:
            yield read_target(row)
        except ValueError as error:
            emit_event(PEER_UNREADABLE, peer=row.address, error=str(error))
