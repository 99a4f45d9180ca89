"""Derive from an account's quota what the hosts may use between them.

Over any window, the use of an account stays below its limit, plus an excess and
a slack: what may be unspent at the start of the window (the stock), plus what
is added in it. The stock is divided into what the leader and the hosts in touch
with it hold, what hosts may spend that have just started, and what a new leader
may hand out while it doesn't know what the last one did.
"""

from typing import NamedTuple

from cassiarail.security.accounts import AccountQuota

# Units are added a little faster than the quota states, so that units that
# expire unspent reduce no account's use below its limit.
_REFILL_EXCESS = 0.02
# No more than this share of the allowed excess is used for it.
_REFILL_EXCESS_SHARE = 0.2
# Requests that have not run give their units back within this time. What they
# spent before a window then adds to the use in it.
RETURN_S = 0.1
# Shares of the stock.
_POOL_SHARE = 0.75
_FRESH_SHARE = 0.1
_TAKEOVER_SHARE = 0.15
# Share of the refill that the hosts out of touch with the leader spend, each an
# equal part, and for how many seconds a part accumulates.
_ALONE_SHARE = 0.5
_ALONE_STOCK_S = 2.0


class QuotaRules(NamedTuple):
    """Define how the use of an account is measured.

    Over any ``window_s``, it may exceed its limit by the share ``excess`` and
    ``slack`` units.
    """

    window_s: float = 8.0
    excess: float = 0.1
    slack: float = 0


DEFAULT_RULES = QuotaRules()


class QuotaBounds(NamedTuple):
    """Hold the units that an account may use, over all hosts.

    ``pool`` units are held by the leader and the hosts in touch with it.
    ``fresh`` units are for hosts that have just started, ``takeover`` units
    for a new leader. ``refill_per_s`` units are added a second.
    """

    pool: float
    fresh: float
    takeover: float
    refill_per_s: float

    @property
    def alone_per_s(self) -> float:
        """Return the refill if no host is in touch with a leader."""
        return self.refill_per_s * _ALONE_SHARE

    @property
    def alone_stock(self) -> float:
        """Return what hosts without a leader may accumulate together."""
        return self.alone_per_s * _ALONE_STOCK_S


def compute_bounds(
    quota: AccountQuota, rules: QuotaRules = DEFAULT_RULES
) -> QuotaBounds:
    """Return the bounds of a quota."""
    factor = 1 + min(_REFILL_EXCESS, rules.excess * _REFILL_EXCESS_SHARE)
    refill_per_s = quota.rate_per_s * factor
    limit = rules.window_s * quota.rate_per_s + quota.burst
    allowed = (1 + rules.excess) * limit + rules.slack
    stock = max(0, allowed - (rules.window_s + RETURN_S) * refill_per_s)
    return QuotaBounds(
        stock * _POOL_SHARE,
        stock * _FRESH_SHARE,
        stock * _TAKEOVER_SHARE,
        refill_per_s,
    )
