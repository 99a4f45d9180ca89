"""Derive from an account's quota what the hosts may use between them.

Over any window, the use of an account stays below ``(1 + _EXCESS)`` times its
limit: what may be unspent at the start of the window (``stock``), plus what is
added in it. The stock is divided into what the leader and the hosts in touch
with it hold, what hosts may spend that have just started, and what a new leader
may hand out while it doesn't know what the last one did.
"""

from typing import NamedTuple

from cassiarail.security.accounts import AccountQuota

# Window and excess within which the platform measures the use of an account.
_WINDOW_S = 8.0
_EXCESS = 0.1
# Units are added a little faster than the quota states, so that units that
# expire unspent reduce no account's use below its limit.
_REFILL_FACTOR = 1.02
# Shares of the stock.
_POOL_SHARE = 0.75
_FRESH_SHARE = 0.1
_TAKEOVER_SHARE = 0.15
# Share of the refill that the hosts out of touch with the leader spend, each an
# equal part, and for how many seconds a part accumulates.
_ALONE_SHARE = 0.5
_ALONE_STOCK_S = 2.0


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


def compute_bounds(quota: AccountQuota) -> QuotaBounds:
    """Return the bounds of a quota."""
    refill_per_s = quota.rate_per_s * _REFILL_FACTOR
    allowed = (1 + _EXCESS) * (_WINDOW_S * quota.rate_per_s + quota.burst)
    stock = allowed - _WINDOW_S * refill_per_s
    return QuotaBounds(
        stock * _POOL_SHARE,
        stock * _FRESH_SHARE,
        stock * _TAKEOVER_SHARE,
        refill_per_s,
    )
