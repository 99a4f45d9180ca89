"""Spend the units of client accounts on one host.

A host spends units that the leader has granted it. A grant expires, so that
the units of a host that has stopped can be granted to others. A host that has
heard no leader spends an equal part of a smaller refill.
"""

import enum
import math
import random
from collections.abc import Callable, Iterable
from typing import NamedTuple

from cassiarail.core.clock import Clock
from cassiarail.limits.quota_bounds import (
    DEFAULT_RULES,
    RETURN_S,
    QuotaBounds,
    QuotaRules,
    compute_bounds,
)
from cassiarail.limits.quota_rows import GrantRow, UseRow, identify_account
from cassiarail.limits.quota_use import RecentUse
from cassiarail.security.accounts import ClientAccount

# Units that the leader has not confirmed for this long are not spent.
GRANT_S = 6.0
# A host that has received nothing from the leader for this long is alone.
ALONE_AFTER_S = 2.0
# Units of an account in use are confirmed again this long before they expire.
_RENEW_S = 2.5
# An account that isn't used gives its units back, unless they are for fewer
# than some requests; those are left to expire.
_LEFT_REQUESTS = 0.5
# A row is sent again after this time.
_REPEAT_S = 0.6
# Units that run low are reported at this interval.
_REGULAR_S = 0.95
# Below this share of what is held ahead, units run low.
_LOW_SHARE = 0.5
# What was spent is reported at this share of a host's equal part of the pool;
# the leader refills it only then.
_UNREPORTED_SHARE = 0.75
# Rows with less than this share are sent along with those that are due.
_ALONG_SHARE = 0.8
# The leader isn't asked again for this long after it has denied units.
_MAX_DENIAL_S = 0.6
_MIN_RETRY_S = 0.2
_MAX_RETRY_S = 2.0
# Hosts until they are counted; a small part harms least.
_UNKNOWN_HOSTS = 512
_MS = 1000
_NEVER = float('-inf')


class Decision(enum.Enum):
    """Name what happens to a request."""

    ADMITTED = 'admitted'
    ASK_LEADER = 'ask leader'
    REFUSED = 'refused'


class SpendResult(NamedTuple):
    """Hold the decision on a request, and when a refused one may return."""

    decision: Decision
    retry_after_s: float = 0


class _AccountUnits:
    """Hold the units of one account on this host."""

    def __init__(
        self, account: ClientAccount, bounds: QuotaBounds, now: float
    ) -> None:
        self.account = account
        self.bounds = bounds
        self.held = float(0)
        self.expires_at = _NEVER
        self.received = 0
        self.spent = float(0)
        self.reported = float(0)
        self.urgent = float(0)
        self.denied_until = _NEVER
        self.retry_after_s = float(0)
        self.alone = float(0)
        self.alone_at = now
        self.use = RecentUse(now)
        self.sent_at = _NEVER

    def change_bounds(
        self, account: ClientAccount, bounds: QuotaBounds
    ) -> None:
        """Apply a changed quota; units of a lower one are reduced at once."""
        if bounds.pool < self.bounds.pool:
            self.held *= bounds.pool / self.bounds.pool
            self.alone = min(self.alone, bounds.fresh)
        self.account = account
        self.bounds = bounds

    def expire(self, now: float) -> None:
        """Drop units whose grant has expired."""
        if now >= self.expires_at:
            self.held = 0


class HostQuotas:
    """Hold the units of all accounts that this host has received.

    ``count_hosts`` returns the number of hosts, or 0 if it is unknown; ``draw``
    returns random numbers below 1.
    """

    def __init__(
        self,
        clock: Clock,
        count_hosts: Callable[[], int],
        rules: QuotaRules = DEFAULT_RULES,
        draw: Callable[[], float] = random.random,
    ) -> None:
        self._clock = clock
        self._rules = rules
        self._draw = draw
        self._count_hosts = count_hosts
        self._units: dict[int, _AccountUnits] = {}
        self._started_at = clock.monotonic()
        # A host that starts waits for a leader as long as one that loses it.
        self._contact_at = self._started_at
        self._has_heard = False
        self._fence = 0
        self._regular_at = _NEVER

    @property
    def fence(self) -> int:
        """Return the leader's term that the counts belong to."""
        return self._fence

    @property
    def hosts(self) -> int:
        """Return the number of hosts that share a quota."""
        return self._count_hosts() or _UNKNOWN_HOSTS

    @property
    def has_heard(self) -> bool:
        """Return whether this process has heard any leader."""
        return self._has_heard

    @property
    def started_at(self) -> float:
        """Return when this host began to count."""
        return self._started_at

    def record_contact(self, fence: int) -> None:
        """Record that the leader of a term was heard."""
        self._contact_at = self._clock.monotonic()
        self._has_heard = True
        if fence <= self._fence:
            return
        for units in self._units.values():
            units.received = 0
            units.spent = 0
            units.reported = 0
            units.sent_at = _NEVER
        self._fence = fence

    def try_spend(self, account: ClientAccount, cost: float) -> SpendResult:
        """Spend units for a new request if possible."""
        now = self._clock.monotonic()
        units = self._find(account, now)
        if units is None:
            return SpendResult(Decision.ADMITTED)
        # One above the pool is never admitted, and says nothing of the next.
        if cost <= units.bounds.pool:
            units.use.record(cost, now)
        return self._decide(units, cost, now)

    def try_again(self, account: ClientAccount, cost: float) -> SpendResult:
        """Spend units for a request that has waited for the leader."""
        now = self._clock.monotonic()
        units = self._find(account, now)
        if units is None:
            return SpendResult(Decision.ADMITTED)
        return self._decide(units, cost, now)

    def give_back(
        self, account: ClientAccount, cost: float, spent_at: float
    ) -> bool:
        """Return the units of a request that has not run.

        Only those spent a short time ago come back: what was refilled for
        the others since then may be in use.
        """
        now = self._clock.monotonic()
        units = self._find(account, now)
        if units is None or now >= min(spent_at + RETURN_S, units.expires_at):
            return False
        units.held += cost
        units.spent -= cost
        return True

    def change_urgent(self, account: ClientAccount, cost: float) -> None:
        """Change the units that waiting requests need."""
        units = self._units.get(identify_account(account.name))
        if units is not None:
            units.urgent = max(0, units.urgent + cost)

    def list_urgent(self) -> list[UseRow]:
        """Return rows of accounts with waiting requests, and what is due."""
        return self._list_rows(lambda units, _now: units.urgent > 0)

    def list_due(self) -> list[UseRow]:
        """Return rows that the leader should receive now.

        Rows of low units are returned together, once in an interval.
        """
        now = self._clock.monotonic()
        if now - self._regular_at < _REGULAR_S:
            return self._list_rows(self._is_unreported)
        self._regular_at = now
        return self._list_rows(self._is_due)

    def receive(
        self, fence: int, sent_at: float, grants: Iterable[GrantRow]
    ) -> None:
        """Add granted units; ``sent_at`` is when this host reported its use."""
        if fence != self._fence or sent_at < self._started_at:
            return
        now = self._clock.monotonic()
        for grant in grants:
            units = self._units.get(grant.account)
            if units is None:
                continue
            units.expire(now)
            expires_at = sent_at + GRANT_S
            if expires_at <= now:
                continue
            if grant.granted > units.received:
                units.held += grant.granted - units.received
                units.received = grant.granted
            units.expires_at = max(units.expires_at, expires_at)
            if grant.denied_ms > 0:
                denied_s = grant.denied_ms / _MS
                units.denied_until = now + min(denied_s, _MAX_DENIAL_S)
                units.retry_after_s = denied_s

    def list_held(self) -> dict[str, float]:
        """Return the units that are held, by the names of accounts."""
        now = self._clock.monotonic()
        held = {}
        for units in self._units.values():
            units.expire(now)
            held[units.account.name] = units.held
        return held

    def is_alone(self) -> bool:
        """Return whether no leader was heard for some time."""
        return self._clock.monotonic() - self._contact_at >= ALONE_AFTER_S

    def _find(self, account: ClientAccount, now: float) -> _AccountUnits | None:
        number = identify_account(account.name)
        if account.quota is None:
            # The counts stay: the leader may not see this configuration.
            return None
        units = self._units.get(number)
        if units is None:
            bounds = compute_bounds(account.quota, self._rules)
            units = _AccountUnits(account, bounds, now)
            self._units[number] = units
            if not self._has_heard:
                units.alone = bounds.fresh / self.hosts
        elif account.quota != units.account.quota:
            units.change_bounds(
                account, compute_bounds(account.quota, self._rules)
            )
        return units

    def _decide(
        self, units: _AccountUnits, cost: float, now: float
    ) -> SpendResult:
        if cost > units.bounds.pool:
            return SpendResult(Decision.REFUSED, _MAX_RETRY_S)
        units.expire(now)
        if units.held >= cost:
            units.held -= cost
            units.spent += cost
            return SpendResult(Decision.ADMITTED)
        self._refill_alone(units, now)
        if self._spend_alone(units, cost):
            return SpendResult(Decision.ADMITTED)
        if self.is_alone():
            missing = cost - units.alone
            return SpendResult(
                Decision.REFUSED,
                _limit_retry(missing * self.hosts / units.bounds.alone_per_s),
            )
        if now < units.denied_until:
            return SpendResult(
                Decision.REFUSED, _limit_retry(units.retry_after_s)
            )
        return SpendResult(Decision.ASK_LEADER)

    def _spend_alone(self, units: _AccountUnits, cost: float) -> bool:
        if units.alone >= cost:
            units.alone -= cost
            return True
        if cost <= units.bounds.alone_stock / self.hosts:
            return False
        if not self.is_alone():
            return False
        # The part of one host is less than a request. Chance lets some hosts
        # run one, and all of them together spend their parts on average.
        share = units.alone / cost
        units.alone = 0
        return self._draw() < share

    def _refill_alone(self, units: _AccountUnits, now: float) -> None:
        """Add what a host without a leader may spend."""
        if self.is_alone():
            since = max(units.alone_at, self._contact_at + ALONE_AFTER_S)
            # What was granted counts towards what may accumulate.
            stock = max(0, units.bounds.alone_stock / self.hosts - units.held)
            added = max(0, now - since) * units.bounds.alone_per_s / self.hosts
            units.alone = min(max(stock, units.alone), units.alone + added)
        elif self._has_heard:
            units.alone = 0
        units.alone_at = now

    def _list_rows(
        self, is_due: Callable[[_AccountUnits, float], bool]
    ) -> list[UseRow]:
        """Return rows if one of them is due."""
        now = self._clock.monotonic()
        for units in self._units.values():
            units.expire(now)
        if not any(is_due(units, now) for units in self._units.values()):
            return []
        return [
            _make_row(number, units, now)
            for number, units in self._units.items()
            if units.urgent > 0
            or self._is_unreported(units, now)
            or _is_low(units, now, _ALONG_SHARE)
        ]

    def _is_due(self, units: _AccountUnits, now: float) -> bool:
        is_low = _is_low(units, now, _LOW_SHARE)
        return is_low or self._is_unreported(units, now)

    def _is_unreported(self, units: _AccountUnits, _now: float) -> bool:
        """Return whether much was spent that the leader can't refill yet."""
        share = units.bounds.pool * _UNREPORTED_SHARE / self.hosts
        return units.spent - units.reported > share


def _is_low(units: _AccountUnits, now: float, low_share: float) -> bool:
    """Return whether units run low, expire or are to be given back."""
    if now - units.sent_at < _REPEAT_S:
        return False
    if units.use.is_idle(now):
        return units.held > units.use.mean_cost * _LEFT_REQUESTS
    if now >= units.expires_at - _RENEW_S:
        return True
    return units.held < units.use.compute_target(now) * low_share


def _make_row(number: int, units: _AccountUnits, now: float) -> UseRow:
    target = units.use.compute_target(now)
    units.expire(now)
    units.sent_at = now
    units.reported = units.spent
    if not target:
        units.held = 0
    return UseRow(
        number,
        math.ceil(units.spent),
        units.received,
        math.floor(units.held),
        math.ceil(max(0, units.urgent - units.held)),
        math.ceil(max(0, target - units.held)),
    )


def _limit_retry(seconds: float) -> float:
    return min(max(seconds, _MIN_RETRY_S), _MAX_RETRY_S)
