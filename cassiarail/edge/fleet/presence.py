"""Exchange demand and state with the other hosts."""

import asyncio
from collections.abc import Callable, Iterable

from cassiarail.core.clock import Clock
from cassiarail.core.lifecycle import Component
from cassiarail.edge.engines.leader import PlacementLeader
from cassiarail.edge.fleet.applied_rows import apply_rows
from cassiarail.edge.fleet.changes import ChangeLog
from cassiarail.edge.fleet.election import LeaderElection
from cassiarail.edge.fleet.entry_digest import EntryDigest
from cassiarail.edge.fleet.fleet_demand import build_demand_rows
from cassiarail.edge.fleet.members import MemberAnnouncer, MemberList
from cassiarail.edge.fleet.messages import (
    ConfigurationCopy,
    CrashReport,
    DemandReport,
    EngineRow,
    ExpectedRow,
    Message,
    QuotaGrants,
    QuotaReport,
    Relay,
    StateUpdate,
)
from cassiarail.edge.fleet.peers import PeerLink
from cassiarail.edge.fleet.presence_parts import PresenceParts
from cassiarail.edge.fleet.quota_listener import QuotaListener
from cassiarail.edge.fleet.rows import list_failed_requests
from cassiarail.edge.fleet.sent_rows import SentRows
from cassiarail.edge.fleet.state_updates import REORDER_S
from cassiarail.edge.fleet.traffic import TrafficKind
from cassiarail.edge.registry.targets import (
    mark_all_leaving,
)
from cassiarail.http1.pool import Address
from cassiarail.store.eras import Version

_REPORT_INTERVAL_S = 0.5
# In a large fleet each host reports half as often, so that the leader's link
# carries all reports.
_LARGE_FLEET = 20
_LARGE_FLEET_REPORTS = 2
# While the link is idle, urgent reports wait this long to be sent together.
_BATCH_DELAY_S = 0.002
# Missed updates are resent only if the link will be free within this time.
_MAX_LINK_DELAY_S = 0.25
# For hosts that miss too many updates, the rows of all engines are resent at
# most this often.
_FULL_RESEND_S = 2.0
# Rows of one datagram; more would not fit in one packet.
_MAX_ROWS = 8
_LEADER_TIMEOUT_S = 2.0


class Presence(Component):
    """Send demand reports to the leader, or state updates as the leader."""

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
        self.quotas: QuotaListener | None = None
        self.count_present = parts.fleet_demand.count_present
        self.list_hosts = parts.list_hosts
        self.on_directory_change: Callable[[], None] = parts.waits.wake
        self.observe_era: Callable[[int], None] = lambda _era: None
        self._host = host
        self._parts = parts
        self._clock = clock
        self.link = link
        link.on_message = self.handle_message
        parts.configurations.connect(link.send)
        self._changes = ChangeLog(
            parts.directory,
            self._is_leader,
            self.report_soon,
            clock,
        )
        self._leader_address: Address | None = None
        self._leader_seen_at = float('-inf')
        self._ready_at: dict[tuple[str, str], float] = {}
        self._is_report_scheduled = False
        self._report_count = 0
        self._sent_rows = SentRows()
        self._is_gap_check_scheduled = False
        self._full_resend_at = float('-inf')
        self._sent_configuration = 0
        self._digest = EntryDigest(parts.directory)
        self._members = MemberList(parts.crash_exchange.peers)
        self._announcer = MemberAnnouncer(
            parts.list_hosts, self._members, clock
        )

    async def start(self) -> None:
        """Bind the address for peers."""
        await self.link.start()

    async def run(self) -> None:
        """Report regularly until cancelled."""
        while True:
            self._report_count += 1
            is_large = self.host_count > _LARGE_FLEET
            if (
                self._is_leader()
                or not is_large
                or not self._report_count % _LARGE_FLEET_REPORTS
            ):
                self.report(is_regular=True)
            await self._clock.sleep(_REPORT_INTERVAL_S)

    async def stop(self) -> None:
        """Release the address."""
        self.link.stop()

    @property
    def leader_address(self) -> Address | None:
        """Return where the leader receives reports, if one was heard."""
        return self._leader_address

    def report_soon(self) -> None:
        """Report as soon as the link has sent the earlier datagrams."""
        if not self._is_report_scheduled:
            self._is_report_scheduled = True
            loop = asyncio.get_running_loop()
            loop.call_later(
                max(_BATCH_DELAY_S, self._parts.traffic.delay_s()),
                self.report,
            )

    def report(self, *, is_regular: bool = False) -> None:
        """Report once; a regular report also repeats some unchanged rows."""
        self._is_report_scheduled = False
        demand_report = self._make_demand_report()
        if self._is_leader():
            self._parts.fleet_demand.record_report(demand_report)
            self._send_state_updates(is_regular=is_regular)
        elif self._leader_address is not None:
            self.link.send(
                demand_report,
                self._leader_address,
                TrafficKind.DEMAND_REPORT,
            )

    def begin_term(self) -> None:
        """Send the full state to all hosts at the start of a term."""
        self._parts.broadcaster.begin_term()
        self._sent_rows.clear()
        self._changes.clear()
        self._changes.add_all()
        self.report()

    def resign(self) -> None:
        """Announce to the hosts that this one has stepped down."""
        if self.leader is None or self.election is None:
            return
        rows = self.leader.list_engine_rows()
        # A datagram may be lost; sending a second copy makes that rare.
        for update in (
            self._make_state_update(rows),
            self._make_state_update(rows),
        ):
            update.is_last = True
            self._parts.broadcaster.send(update)

    def seconds_until_ready(self, service: str, model: str) -> float | None:
        """Return the seconds until a model that is being loaded is ready."""
        ready_at = self._ready_at.get((service, model))
        if ready_at is None:
            return None
        return max(0, ready_at - self._clock.monotonic())

    def has_leader(self) -> bool:
        """Return whether some host is leader."""
        if self._is_leader():
            return True
        age = self._clock.monotonic() - self._leader_seen_at
        return age < _LEADER_TIMEOUT_S

    def handle_message(self, message: Message, sender: Address) -> None:
        """Handle a message of another host."""
        if isinstance(message, Relay):
            self.link.relay(message.datagram, message.addresses, sender)
            return
        if isinstance(message, ConfigurationCopy):
            if self._parts.configurations.receive(message):
                self.report_soon()
            return
        if isinstance(message, CrashReport):
            self._parts.crash_exchange.receive(message, sender)
            return
        if isinstance(message, QuotaReport | QuotaGrants):
            if self.quotas is not None:
                self.quotas.receive(message, sender)
            return
        for failure in message.losses:
            self._parts.suspects.record(
                failure.fingerprint,
                (failure.instance, failure.born_ms),
            )
        if isinstance(message, DemandReport):
            self._handle_demand_report(message, sender)
        else:
            self._handle_state_update(message)

    def _handle_demand_report(
        self, report: DemandReport, sender: Address
    ) -> None:
        self._parts.fleet_demand.record_report(report)
        self._parts.loads.receive(report.loads)
        if mark_all_leaving(self._parts.directory, report.leaving):
            self.on_directory_change()
        if self.leader is not None:
            self.leader.wake()
        broadcaster = self._parts.broadcaster
        broadcaster.record_contact(sender)
        self._parts.crash_exchange.peers.record(sender)
        self._announcer.record_digest(report.members)
        if self._is_leader():
            self._parts.configurations.answer(report, sender)
            if report.sent_at:
                self._reply(report, sender)
        is_busy = self._parts.traffic.delay_s() > _MAX_LINK_DELAY_S
        if is_busy or not (self._is_leader() and report.is_behind):
            return
        fence = self.election.fence if self.election else 0
        last_received = report.heard if report.fence == fence else 0
        now = self._clock.monotonic()
        is_sent = broadcaster.resend(last_received, sender)
        if not is_sent and now - self._full_resend_at >= _FULL_RESEND_S:
            # The host's own watch shows the targets; only state updates show
            # which adapters the engines hold.
            self._full_resend_at = now
            self._sent_rows.clear()

    def _reply(self, report: DemandReport, sender: Address) -> None:
        """Let a host measure this host's clock; rows are sent to all hosts."""
        update = self._make_state_update([])
        update.number = self._parts.broadcaster.number
        update.reply_to = report.sent_at
        self.link.send(update, sender, TrafficKind.STATE_UPDATE)

    def _handle_state_update(self, update: StateUpdate) -> None:
        receiver = self._parts.receiver
        if update.fence < receiver.fence or update.host == self._host:
            return
        is_new_term = update.fence != receiver.fence
        era = Version.unpack(update.fence).era
        if era:
            self.observe_era(era)
        receiver.receive(update)
        self.host_count = max(self.host_count, update.hosts)
        if self.election is not None:
            if update.is_last:
                self.election.record_resignation(
                    update.fence,
                    {row.instance: row.idle_s for row in update.engines},
                )
            else:
                self.election.record_leader()
        self._leader_address = Address.parse(update.address)
        self._parts.crash_exchange.peers.record(self._leader_address)
        if update.members is not None:
            self._members.receive(update.members)
        self._leader_seen_at = self._clock.monotonic()
        if self.quotas is not None and not update.is_last:
            self.quotas.record_contact(update.fence)
        self._parts.loads.receive(update.loads)
        self._set_expected(update.expected)
        if apply_rows(self._parts.directory, update):
            self.on_directory_change()
        elif update.engines:
            self._parts.waits.wake()
        receiver.confirm(update, self._digest.compute())
        if is_new_term:
            self.report_soon()
        if receiver.has_gap and not self._is_gap_check_scheduled:
            self._is_gap_check_scheduled = True
            loop = asyncio.get_running_loop()
            loop.call_later(REORDER_S + _BATCH_DELAY_S, self._request_missing)

    def _request_missing(self) -> None:
        self._is_gap_check_scheduled = False
        if self._parts.receiver.is_behind:
            self.report_soon()

    def _make_demand_report(self) -> DemandReport:
        receiver = self._parts.receiver
        return DemandReport(
            self._host,
            build_demand_rows(self._parts.meter.measure(), self._parts.waits),
            list_failed_requests(self._parts.suspects),
            receiver.fence,
            receiver.last_received,
            receiver.begin_resend_request(),
            self._clock.monotonic() if receiver.needs_reply else 0,
            self._parts.directory.list_leaving(),
            self._members.digest,
            self._parts.configurations.get_version(),
            self._parts.loads.list_own(),
        )

    def _send_state_updates(self, *, is_regular: bool) -> None:
        """Send one update, and schedule another if rows are left."""
        if self.leader is None:
            return
        due = self._report_count if is_regular else None
        engines = self._sent_rows.choose(self.leader.list_engine_rows(), due)
        changes = self._changes.pop(_MAX_ROWS)
        self.leader.wake()
        self._set_expected(self.leader.list_expected())
        version = self._parts.configurations.get_version()
        has_rows = engines or changes.targets or changes.removed
        if is_regular or has_rows or version != self._sent_configuration:
            self._sent_configuration = version
            update = self._make_state_update(engines[:_MAX_ROWS])
            update.targets = changes.targets
            update.gone = changes.removed
            if is_regular:
                update.losses = list_failed_requests(self._parts.suspects)
                update.members = self._announcer.next_page()
                update.loads = self._parts.loads.list_all()
            self._sent_rows.record(update.engines)
            self._parts.broadcaster.send(update)
            self._parts.waits.wake()
        if len(engines) > _MAX_ROWS or not self._changes.is_empty:
            self.report_soon()

    def _make_state_update(self, rows: list[EngineRow]) -> StateUpdate:
        leader = self.leader
        hosts = len(list(self._parts.list_hosts()))
        self.host_count = max(self.host_count, hosts)
        return StateUpdate(
            self._host,
            str(self.link.address),
            self.election.fence if self.election else 0,
            0,
            self._contact_s(),
            hosts,
            rows,
            leader.list_expected() if leader else [],
            [],
            self._parts.directory.list_leaving(),
            self._clock.monotonic(),
            self._digest.compute() if self._changes.is_empty else 0,
            self._parts.configurations.get_version(),
        )

    def _contact_s(self) -> float:
        """Return the age of the state that this host has sent.

        A change that waits for the link makes it older.
        """
        contact_s = self._parts.store_contact_s()
        if contact_s < 0:
            return contact_s
        return max(contact_s, self._changes.waiting_s())

    def _set_expected(self, rows: Iterable[ExpectedRow]) -> None:
        now = self._clock.monotonic()
        self._ready_at = {
            (row.service, row.model): now + row.ready_in_s for row in rows
        }

    def _is_leader(self) -> bool:
        return self.leader is not None and self.leader.is_leader
