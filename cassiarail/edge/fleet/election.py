"""Elect the host that sends orders to the engines, by means of a lease.

Engines that don't check fencing tokens would obey two leaders. A leader
therefore stops sending orders before its lease expires, and the next leader
sends an engine no order until enough time has passed since the last order of
the previous leader.
"""

from collections.abc import Callable, Mapping
from typing import NamedTuple

from cassiarail.core.clock import Clock
from cassiarail.core.events import emit_event
from cassiarail.core.exceptions import StoreError
from cassiarail.core.lifecycle import Component
from cassiarail.edge.events import (
    LEADERSHIP_ENDED,
    LEADERSHIP_STARTED,
    RENEWAL_FAILED,
)
from cassiarail.store.leases import CLOCK_RATE_MARGIN, Lease, is_first_fence

_TICK_S = 0.1


class ElectionRules(NamedTuple):
    """Hold the durations of an election in seconds.

    ``order_gap_s`` has to pass between orders of two leaders to one engine.
    A leader sends no orders in the last ``stop_early_s`` of its lease. Other
    hosts try to acquire the lease after receiving nothing from the leader for
    ``leader_timeout_s``. A host that is less suitable as leader waits
    ``acquire_delay_s`` longer, but at most ``handover_s`` after the leader
    has released the lease.
    """

    lease_s: float
    order_gap_s: float
    stop_early_s: float = 0.4
    leader_timeout_s: float = 1.2
    renewals_per_lease: int = 3
    acquire_delay_s: float = 0
    handover_s: float = 0.4

    @property
    def holdoff_s(self) -> float:
        """Return how long a leader holds off orders after a lease expired.

        The previous leader's lease ended earlier by the margin for clock
        rates, and its orders ended earlier still.
        """
        elapsed_s = self.stop_early_s + self.lease_s * CLOCK_RATE_MARGIN
        return max(0, self.order_gap_s - elapsed_s)


class Resignation(NamedTuple):
    """Hold when each engine may get orders after a leader stepped down."""

    fence: int
    orders_from: Mapping[str, float]
    received_at: float


class LeaderElection(Component):
    """Acquire the lease and renew it."""

    name = 'tenure'

    def __init__(
        self,
        lease: Lease,
        clock: Clock,
        rules: ElectionRules,
        jitter: Callable[[], float],
        on_change: Callable[[bool], None],
        may_compete: Callable[[], bool] | None = None,
    ) -> None:
        """Call ``on_change`` when the host begins or ends a term.

        A host that doesn't hold the lease reads it only while ``may_compete``
        returns true.
        """
        self._is_allowed = may_compete or _always
        self.fence = 0
        self._lease = lease
        self._clock = clock
        self._rules = rules
        self._jitter = jitter
        self._on_change = on_change
        self._compete_at = clock.monotonic() + rules.acquire_delay_s
        self._renew_at = float(0)
        self._has_read_lease = False
        self._is_leader = False
        self._is_stopping = False
        self._has_failed = False
        self._orders_from = float('inf')
        self._resignation: Resignation | None = None
        self._ordered_at: dict[str, float] = {}
        # Until then, an earlier process on this machine may have sent orders.
        self._unknown_until = float('-inf')

    @property
    def holder(self) -> str:
        """Return the name under which this host holds the lease."""
        return self._lease.holder

    def is_held(self) -> bool:
        """Return whether this host holds the lease."""
        return self._is_leader and self._lease.is_held()

    def may_order(self, instance: str) -> bool:
        """Return whether an engine may be sent an order now."""
        if not self.is_held():
            return False
        if self._lease.seconds_left() <= self._rules.stop_early_s:
            return False
        return self._clock.monotonic() >= self._find_orders_from(instance)

    def record_order(self, instance: str) -> None:
        """Record that this host sends an order to an engine."""
        now = self._clock.monotonic()
        oldest = now - self._rules.order_gap_s
        self._ordered_at = {
            name: at for name, at in self._ordered_at.items() if at >= oldest
        }
        self._ordered_at[instance] = now

    def idle_s(self, instance: str) -> float:
        """Return for how long no leader has sent an engine an order.

        The result is exact for orders of this process. For others it is the
        shortest possible time, since the next leader waits for the remainder.
        """
        # No order of another leader is more recent than the gap before the
        # first one that this leader may send.
        last_order_at = max(
            self._find_orders_from(instance) - self._rules.order_gap_s,
            self._ordered_at.get(instance, float('-inf')),
            self._unknown_until,
        )
        return self._clock.monotonic() - last_order_at

    def record_leader(self) -> None:
        """Record that another host holds the lease and is alive."""
        rules = self._rules
        timeout_s = rules.leader_timeout_s + rules.acquire_delay_s
        self._compete_at = self._clock.monotonic() + timeout_s

    def record_resignation(
        self, fence: int, idle_s: Mapping[str, float]
    ) -> None:
        """Record that a leader has stepped down and sends no more orders.

        ``idle_s`` maps engines to the seconds since its last order to them.
        """
        now = self._clock.monotonic()
        rules = self._rules
        self._compete_at = now + min(rules.acquire_delay_s, rules.handover_s)
        order_gap_s = rules.order_gap_s
        self._resignation = Resignation(
            fence,
            {
                instance: now + max(0, order_gap_s - seconds)
                for instance, seconds in idle_s.items()
            },
            now,
        )
        self._lease.accept_release(fence)

    def renew_soon(self) -> None:
        """Renew the lease at once; the store may have lost it."""
        self._renew_at = self._clock.monotonic()

    async def run(self) -> None:
        """Compete for the lease until cancelled."""
        while not self._is_stopping:
            if self._may_compete():
                await self._acquire_or_renew()
            if self._is_leader and not self._lease.is_held():
                self._lease.abandon()
                self._end_term('lease expired')
            await self._clock.sleep(_TICK_S * (1 + self._jitter()))

    async def drain(self) -> None:
        """Release the lease, so that another host can acquire it at once."""
        self._is_stopping = True
        if self._is_leader:
            self._end_term('stopping')
            await self._lease.release()

    def _may_compete(self) -> bool:
        if self._is_leader:
            return self._clock.monotonic() >= self._renew_at
        if not self._is_allowed():
            return False
        # A process that has just started may still own the lease of the
        # previous process on this machine.
        return self._may_acquire() or not self._has_read_lease

    def _may_acquire(self) -> bool:
        """Return whether this host may acquire another host's lease."""
        return self._clock.monotonic() >= self._compete_at

    async def _acquire_or_renew(self) -> None:
        rules = self._rules
        self._lease.holdoff_s = self._remaining_holdoff_s()
        try:
            await self._lease.attempt(
                only_own=not self._is_leader and not self._may_acquire(),
            )
        except StoreError as error:
            if not self._has_failed:
                emit_event(RENEWAL_FAILED, error=error.message)
            self._has_failed = True
            # Giving up the lease before it expires lets a host that can still
            # reach the store take over sooner.
            if (
                self._is_leader
                and self._lease.seconds_left() < rules.lease_s / 2
            ):
                self._lease.abandon()
                self._end_term('store is unreachable')
        else:
            self._has_failed = False
            self._has_read_lease = True
        now = self._clock.monotonic()
        self._renew_at = now + rules.lease_s / rules.renewals_per_lease
        if not self._lease.is_held():
            # Reading the lease again shows nothing new before it expires or
            # would have been renewed.
            renewal_s = rules.lease_s / rules.renewals_per_lease
            expires_in_s = self._lease.expires_in_s()
            self._compete_at = max(
                self._compete_at, now + min(renewal_s, expires_in_s)
            )
        elif not self._is_leader:
            self._begin_term(now)
        elif self._lease.fence != self.fence:
            self._end_term('store has lost the lease')
            self._begin_term(now)

    def _begin_term(self, now: float) -> None:
        self._is_leader = True
        self.fence = self._lease.fence
        is_first = is_first_fence(self.fence)
        holdoff_s = 0 if is_first else self._rules.holdoff_s
        if self._lease.was_released:
            holdoff_s = 0 if is_first else self._rules.order_gap_s
        if self._lease.inherited_holdoff_s is not None:
            # The previous leader was a process on this machine.
            holdoff_s = self._lease.inherited_holdoff_s
            self._unknown_until = now
        if self._resignation and self._resignation.fence != self.fence - 1:
            self._resignation = None
        self._orders_from = now + holdoff_s
        emit_event(
            LEADERSHIP_STARTED,
            fence=self.fence,
            quiet_s=holdoff_s,
            resigned=self._resignation is not None,
            retaken=self._lease.inherited_holdoff_s is not None,
        )
        self._on_change(True)

    def _find_orders_from(self, instance: str) -> float:
        """Return from when an engine may be sent orders in this term."""
        if self._resignation is None:
            return self._orders_from
        return self._resignation.orders_from.get(instance, self._orders_from)

    def _remaining_holdoff_s(self) -> float:
        if not self._is_leader:
            return self._rules.order_gap_s
        return max(0, self._orders_from - self._clock.monotonic())

    def _end_term(self, reason: str) -> None:
        self._is_leader = False
        emit_event(LEADERSHIP_ENDED, fence=self.fence, reason=reason)
        self._on_change(False)
        self._resignation = None


def _always() -> bool:
    return True
