"""Exchange the use of client accounts with the leader.

Hosts report what they have spent, and the leader grants them units. A host
whose requests wait for units reports at once. Without quotas, nothing is sent.
"""

import asyncio
from collections.abc import Callable

from cassiarail.core.clock import Clock
from cassiarail.core.lifecycle import Component
from cassiarail.edge.fleet.election import LeaderElection
from cassiarail.edge.fleet.messages import QuotaGrants, QuotaReport
from cassiarail.edge.fleet.presence import Presence
from cassiarail.edge.fleet.quota_listener import QuotaListener
from cassiarail.edge.fleet.traffic import TrafficKind
from cassiarail.edge.registry.configuration import (
    Configuration,
    CurrentConfiguration,
)
from cassiarail.http1.pool import Address
from cassiarail.limits.quota_bounds import DEFAULT_RULES, QuotaRules
from cassiarail.limits.quota_ledger import (
    HostPresence,
    HostReport,
    QuotaLedger,
)
from cassiarail.limits.quota_rows import UseRow
from cassiarail.limits.quotas import HostQuotas
from cassiarail.store.leases import is_first_fence

_INTERVAL_S = 0.25
# Requests that wait are reported together, at most this often.
_ASK_INTERVAL_S = 0.05
_MS = 1000
_BATCH_DELAY_S = 0.002
# A host that has sent no demand report for this long is out of touch. It goes
# on alone only later.
_PRESENT_S = 1.4
# The hosts are counted at most this often.
_COUNT_INTERVAL_S = 0.1


def _ignore_grants() -> None:
    """Ignore grants until a handler is set."""


class QuotaExchange(Component, QuotaListener):
    """Report this host's use, or grant units as the leader."""

    name = 'quota exchange'

    def __init__(
        self,
        presence: Presence,
        configuration: CurrentConfiguration,
        clock: Clock,
        rules: QuotaRules = DEFAULT_RULES,
    ) -> None:
        self.quotas = HostQuotas(clock, lambda: presence.host_count, rules)
        self.ledger = QuotaLedger(clock, rules)
        self.on_grants: Callable[[], None] = _ignore_grants
        self._link = presence.link
        self._presence = presence
        self._configuration = configuration
        self._clock = clock
        self._applied: Configuration | None = None
        self._asked_at = float('-inf')
        self._is_scheduled = False
        self._term = 0
        self._host_presence = HostPresence(0, 0)
        self._counted_at = float('-inf')
        presence.quotas = self

    async def run(self) -> None:
        """Report regularly until cancelled."""
        while True:
            self.report()
            await self._clock.sleep(_INTERVAL_S)

    def record_contact(self, fence: int) -> None:
        """Record that the leader of a term was heard."""
        self.quotas.record_contact(fence)

    def report(self) -> None:
        """Report the use that the leader should know now."""
        election = self._find_election()
        if election is not None:
            self.quotas.record_contact(election.fence)
            self._begin_term(election.fence)
        self._send_report(self.quotas.list_due())

    def ask_soon(self) -> None:
        """Report the units that waiting requests need."""
        if self._is_scheduled:
            return
        self._is_scheduled = True
        due_at = self._asked_at + _ASK_INTERVAL_S
        delay_s = max(_BATCH_DELAY_S, due_at - self._clock.monotonic())
        asyncio.get_running_loop().call_later(delay_s, self._ask)

    def receive(
        self, message: QuotaReport | QuotaGrants, sender: Address
    ) -> None:
        """Handle a report as the leader, or grants of the leader."""
        if isinstance(message, QuotaGrants):
            self._receive_grants(message)
            return
        grants = self._grant(message, sender)
        if grants is not None:
            self._link.send(grants, sender, TrafficKind.QUOTA)

    def _ask(self) -> None:
        self._is_scheduled = False
        self._asked_at = self._clock.monotonic()
        self._send_report(self.quotas.list_urgent())

    def _send_report(self, rows: list[UseRow]) -> None:
        if not rows:
            return
        report = QuotaReport(
            self.quotas.fence,
            int(self.quotas.started_at * _MS),
            int(self._clock.monotonic() * _MS),
            rows,
        )
        if self._find_election() is not None:
            grants = self._grant(report, self._link.address)
            if grants is not None:
                self._receive_grants(grants)
            return
        address = self._presence.leader_address
        if address is not None:
            self._link.send(report, address, TrafficKind.QUOTA)

    def _receive_grants(self, grants: QuotaGrants) -> None:
        sent_at = grants.sent_ms / _MS
        self.quotas.receive(grants.fence, sent_at, grants.rows)
        self.on_grants()

    def _grant(
        self, report: QuotaReport, sender: Address
    ) -> QuotaGrants | None:
        election = self._find_election()
        if election is None or report.fence != election.fence:
            return None
        self._begin_term(election.fence)
        self._apply_configuration()
        rows = self.ledger.receive(
            HostReport(
                str(sender), report.started_ms, report.sent_ms, report.rows
            ),
            self._count_hosts(),
        )
        return QuotaGrants(report.fence, report.sent_ms, rows)

    def _count_hosts(self) -> HostPresence:
        now = self._clock.monotonic()
        if now - self._counted_at >= _COUNT_INTERVAL_S:
            self._counted_at = now
            hosts = len(list(self._presence.list_hosts()))
            present = self._presence.count_present(_PRESENT_S)
            self._host_presence = HostPresence(hosts, max(0, hosts - present))
        return self._host_presence

    def _begin_term(self, fence: int) -> None:
        if fence != self._term:
            self._term = fence
            self.ledger.begin_term(is_first=is_first_fence(fence))

    def _apply_configuration(self) -> None:
        current = self._configuration.current
        if current is not None and current is not self._applied:
            self._applied = current
            self.ledger.change_accounts(current.accounts)

    def _find_election(self) -> LeaderElection | None:
        """Return the election if this host is the leader."""
        leader = self._presence.leader
        if leader is None or not leader.is_leader:
            return None
        return self._presence.election
