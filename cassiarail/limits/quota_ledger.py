"""Grant the units of client accounts to the hosts, as the leader.

The leader counts all units of an account: those that are left to grant, and
those that each host holds. What hosts report as spent is refilled at the rate
of the account's quota. The hosts that are out of touch are left their part of
the refill.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

from cassiarail.core.clock import Clock
from cassiarail.limits.quota_bounds import (
    DEFAULT_RULES,
    QuotaBounds,
    QuotaRules,
    compute_bounds,
)
from cassiarail.limits.quota_rows import GrantRow, UseRow, identify_account
from cassiarail.limits.quotas import GRANT_S
from cassiarail.security.accounts import AccountQuota, ClientAccount

# Hosts count their grants from before their report; this is for the transit.
_EXPIRY_MARGIN_S = 0.5
# Share of the pool that isn't granted ahead of requests, so that an account may
# move to other hosts, and share of the remainder that one host is granted.
_RESERVED_SHARE = 0.4
_AHEAD_SHARE = 0.125
# Less than these shares, of what a host wants ahead and of the pool, would lie
# idle on it.
_USEFUL_SHARE = 0.25
_USEFUL_POOL_SHARE = 0.02
# An account is short if a larger share of a second's refill was denied.
_SHORT_SHARE = 0.05
# Over this time, denied units count towards the time to return.
_DENIED_DECAY_S = 1.0
_MIN_DENIED_S = 0.2
_MS = 1000
_SWEEP_INTERVAL_S = 0.5
# After a change of leader, an absent host is taken to hold at most this many
# times its equal part.
_ABSENT_FACTOR = 4


class HostPresence(NamedTuple):
    """Count all hosts, and those that are out of touch with the leader."""

    hosts: int
    absent: int


class HostReport(NamedTuple):
    """Hold the rows of one report of a host.

    ``started_at`` identifies the process, ``sent_at`` orders its reports; both
    are of the host's own clock.
    """

    host: str
    started_at: float
    sent_at: float
    rows: Iterable[UseRow]


class _Holding:
    """Hold what one host holds of an account's units."""

    def __init__(self, started_at: float) -> None:
        self.started_at = started_at
        self.sent_at = float('-inf')
        self.units = float(0)
        self.spent = float(0)
        self.granted = 0
        self.expires_at = float('inf')


class _Pool:
    """Hold the units of one account that are left to grant."""

    def __init__(
        self, bounds: QuotaBounds, began_at: float, takeover_until: float
    ) -> None:
        self.bounds = bounds
        self.left = float(0)
        self.held = float(0)
        self.found = float(0)
        self.takeover_until = takeover_until
        self.refilled_at = began_at
        self.swept_at = began_at
        self.denied = float(0)
        self.denied_at = began_at
        self.holdings: dict[str, _Holding] = {}

    def refill(self, now: float, presence: HostPresence) -> None:
        """Add units, and forget the holdings that have expired."""
        if now - self.swept_at >= _SWEEP_INTERVAL_S:
            self.swept_at = now
            self._sweep(now)
        bounds = self.bounds
        absent = presence.absent / max(1, presence.hosts)
        per_s = bounds.refill_per_s - bounds.alone_per_s * absent
        self.left += max(0, now - self.refilled_at) * per_s
        self.refilled_at = now
        limit = bounds.pool - bounds.alone_stock * absent
        if now < self.takeover_until:
            # Absent hosts may hold what the last leader
            # granted them.
            known = max(
                self.found + bounds.takeover,
                bounds.pool * (1 - absent * _ABSENT_FACTOR),
            )
            limit = min(limit, known)
        self.left = min(self.left, max(0, limit - self.held))

    def adopt(self, report: HostReport, row: UseRow, now: float) -> None:
        """Record what a host has spent and still holds."""
        holding = self.holdings.get(report.host)
        if holding is None or holding.started_at != report.started_at:
            if holding is not None:
                # The process has restarted; what it held counts as spent.
                self.held -= holding.units
            holding = _Holding(report.started_at)
            # Granted units that this leader doesn't know of are counted on.
            holding.granted = row.received
            holding.units = row.held
            holding.spent = row.spent
            self.held += row.held
            self.found += row.held
            self.holdings[report.host] = holding
        if report.sent_at <= holding.sent_at:
            return
        holding.sent_at = report.sent_at
        units = row.held + max(0, holding.granted - row.received)
        spent = row.spent - holding.spent
        self.left += holding.units - units - spent
        self.held += units - holding.units
        holding.units = units
        holding.spent = row.spent
        holding.expires_at = now + GRANT_S + _EXPIRY_MARGIN_S

    def grant(self, host: str, row: UseRow, now: float) -> GrantRow:
        """Grant a host what it needs, as far as units are left."""
        holding = self.holdings[host]
        urgent = min(row.urgent, max(0, math.floor(self.left)))
        ahead = min(row.ahead, self._limit_ahead(urgent, now))
        useful = self.bounds.pool * _USEFUL_POOL_SHARE
        if ahead < min(row.ahead * _USEFUL_SHARE, useful):
            ahead = 0
        units = urgent + ahead
        holding.granted += units
        holding.units += units
        self.held += units
        self.left -= units
        self._record_denied(row.urgent - urgent, now)
        denied_ms = 0
        if urgent < row.urgent or self._is_short(now):
            missing = self.denied - min(0, self.left)
            denied_s = max(_MIN_DENIED_S, missing / self.bounds.refill_per_s)
            denied_ms = math.ceil(denied_s * _MS)
        return GrantRow(row.account, holding.granted, denied_ms)

    def _limit_ahead(self, urgent: int, now: float) -> int:
        """Return the most that a host may be granted ahead of requests."""
        left = self.left - urgent
        if self._is_short(now):
            # All is spent soon; hosts needn't ask for each request.
            return max(0, math.floor(left / len(self.holdings)))
        left -= self.bounds.pool * _RESERVED_SHARE
        return max(0, math.floor(left * _AHEAD_SHARE))

    def _is_short(self, now: float) -> bool:
        self._record_denied(0, now)
        return self.denied > self.bounds.refill_per_s * _SHORT_SHARE

    def _record_denied(self, units: float, now: float) -> None:
        decay = math.exp((self.denied_at - now) / _DENIED_DECAY_S)
        self.denied = self.denied * decay + units
        self.denied_at = now

    def _sweep(self, now: float) -> None:
        for host, holding in tuple(self.holdings.items()):
            if now >= holding.expires_at:
                self.held -= holding.units
                self.holdings.pop(host)


class QuotaLedger:
    """Count the units of all accounts in one term of the leader."""

    def __init__(self, clock: Clock, rules: QuotaRules = DEFAULT_RULES) -> None:
        self._clock = clock
        self._rules = rules
        self._began_at = clock.monotonic()
        self._takeover_until = self._began_at
        self._pools: dict[int, _Pool] = {}
        self._quotas: dict[int, AccountQuota] = {}

    def begin_term(self, *, is_first: bool) -> None:
        """Forget what was known; hosts report what they hold.

        Before the first term of a fleet, nothing was granted.
        """
        self._began_at = self._clock.monotonic()
        self._takeover_until = self._began_at
        if not is_first:
            self._takeover_until += GRANT_S
        self._pools.clear()

    def change_accounts(self, accounts: Iterable[ClientAccount]) -> None:
        """Apply the quotas of a configuration."""
        self._quotas = {
            identify_account(account.name): account.quota
            for account in accounts
            if account.quota is not None
        }
        for number in self._pools.keys() - self._quotas.keys():
            self._pools.pop(number)
        for number, pool in self._pools.items():
            pool.bounds = compute_bounds(self._quotas[number], self._rules)

    def receive(
        self, report: HostReport, presence: HostPresence
    ) -> list[GrantRow]:
        """Record a report and return what is granted to its host."""
        now = self._clock.monotonic()
        grants = []
        for row in report.rows:
            pool = self._find_pool(row.account)
            if pool is None:
                continue
            pool.refill(now, presence)
            pool.adopt(report, row, now)
            pool.refill(now, presence)
            grants.append(pool.grant(report.host, row, now))
        return grants

    def _find_pool(self, number: int) -> _Pool | None:
        quota = self._quotas.get(number)
        if quota is None:
            return None
        pool = self._pools.get(number)
        if pool is None:
            pool = _Pool(
                compute_bounds(quota, self._rules),
                self._began_at,
                self._takeover_until,
            )
            self._pools[number] = pool
        return pool
