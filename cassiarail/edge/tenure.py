"""Hold the lease on the engines, for one host at a time.

Engines that don't check fencing numbers would obey two holders, so a holder
stops before its lease lapses, and the next one keeps quiet towards an engine
until enough time has passed since the last order of the holder before it.
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
from cassiarail.store.leases import RATE_MARGIN, Lease

_TICK_S = 0.1


class TenureRules(NamedTuple):
    """Hold the times of a tenure in seconds.

    ``between_s`` has to pass between orders of two holders to one engine.
    Orders end ``stop_early_s`` before the lease does. Other hosts try to
    take the lease when the holder was silent for ``silence_s``. A host that
    is less fit to give orders leaves the lease to others for ``patience_s``
    more, and for ``handover_s`` at most once it was given back.
    """

    lease_s: float
    between_s: float
    stop_early_s: float = 0.4
    silence_s: float = 1.2
    renewals_per_lease: int = 3
    patience_s: float = 0
    handover_s: float = 0.4

    @property
    def quiet_s(self) -> float:
        """Return how long a holder keeps quiet after a lease has lapsed.

        The lease of the holder before it ended earlier by the margin of the
        clocks' rates, and its orders still earlier.
        """
        passed = self.stop_early_s + self.lease_s * RATE_MARGIN
        return max(0, self.between_s - passed)


class Resignation(NamedTuple):
    """Hold when the orders of a holder that gave up may be followed."""

    fence: int
    orders_from: Mapping[str, float]
    heard_at: float


class Tenure(Component):
    """Compete for the lease and keep it."""

    name = 'tenure'

    def __init__(
        self,
        lease: Lease,
        clock: Clock,
        rules: TenureRules,
        jitter: Callable[[], float],
        on_change: Callable[[bool], None],
    ) -> None:
        """Call ``on_change`` when the host begins or ends a tenure."""
        self.fence = 0
        self._lease = lease
        self._clock = clock
        self._rules = rules
        self._jitter = jitter
        self._on_change = on_change
        self._compete_at = clock.monotonic() + rules.patience_s
        self._renew_at = float(0)
        self._has_looked = False
        self._is_holder = False
        self._is_stopping = False
        self._has_failed = False
        self._orders_from = float('inf')
        self._resigned: Resignation | None = None

    @property
    def holder(self) -> str:
        """Return the name under which this host holds the lease."""
        return self._lease.holder

    def is_held(self) -> bool:
        """Tell whether this host holds the lease."""
        return self._is_holder and self._lease.is_held()

    def may_order(self, instance: str) -> bool:
        """Tell whether an engine may be given an order now."""
        if not self.is_held():
            return False
        if self._lease.seconds_left() <= self._rules.stop_early_s:
            return False
        orders_from = self._orders_from
        if self._resigned is not None:
            orders_from = self._resigned.orders_from.get(instance, orders_from)
        return self._clock.monotonic() >= orders_from

    def hear_holder(self) -> None:
        """Note that another host holds the lease and is alive."""
        rules = self._rules
        silence_s = rules.silence_s + rules.patience_s
        self._compete_at = self._clock.monotonic() + silence_s

    def hear_resignation(self, fence: int, idle_s: Mapping[str, float]) -> None:
        """Note that a holder gives no more orders.

        ``idle_s`` tells how long ago it gave each engine its last order.
        """
        now = self._clock.monotonic()
        rules = self._rules
        self._compete_at = now + min(rules.patience_s, rules.handover_s)
        between_s = rules.between_s
        self._resigned = Resignation(
            fence,
            {
                instance: now + max(0, between_s - seconds)
                for instance, seconds in idle_s.items()
            },
            now,
        )
        self._lease.accept_release(fence)

    async def run(self) -> None:
        """Compete until cancelled."""
        while not self._is_stopping:
            if self._may_compete():
                await self._attempt()
            if self._is_holder and not self._lease.is_held():
                self._lease.abandon()
                self._end('lease lapsed')
            await self._clock.sleep(_TICK_S * (1 + self._jitter()))

    async def drain(self) -> None:
        """Give the lease back, so that another host takes it at once."""
        self._is_stopping = True
        if self._is_holder:
            self._end('stopping')
            await self._lease.release()

    def _may_compete(self) -> bool:
        if self._is_holder:
            return self._clock.monotonic() >= self._renew_at
        # A process that has just started may own the lease of the one before.
        return self._is_due() or not self._has_looked

    def _is_due(self) -> bool:
        """Tell whether this host may take the lease from another one."""
        return self._clock.monotonic() >= self._compete_at

    async def _attempt(self) -> None:
        rules = self._rules
        self._lease.quiet_s = self._quiet_left_s()
        try:
            await self._lease.attempt(
                only_own=not self._is_holder and not self._is_due(),
            )
        except StoreError as error:
            if not self._has_failed:
                emit_event(RENEWAL_FAILED, error=error.message)
            self._has_failed = True
            # A host that can still reach the store takes over sooner if the
            # lease is given up before it lapses.
            if (
                self._is_holder
                and self._lease.seconds_left() < rules.lease_s / 2
            ):
                self._lease.abandon()
                self._end('store is out of reach')
        else:
            self._has_failed = False
            self._has_looked = True
        now = self._clock.monotonic()
        self._renew_at = now + rules.lease_s / rules.renewals_per_lease
        if self._lease.is_held() and not self._is_holder:
            self._begin(now)

    def _begin(self, now: float) -> None:
        self._is_holder = True
        self.fence = self._lease.fence
        quiet_s = self._rules.quiet_s if self.fence > 1 else 0
        if self._lease.was_released:
            quiet_s = self._rules.between_s if self.fence > 1 else 0
        if self._lease.inherited_quiet_s is not None:
            # The holder before was a process of this machine.
            quiet_s = self._lease.inherited_quiet_s
        if self._resigned and self._resigned.fence != self.fence - 1:
            self._resigned = None
        self._orders_from = now + quiet_s
        emit_event(
            LEADERSHIP_STARTED,
            fence=self.fence,
            quiet_s=quiet_s,
            resigned=self._resigned is not None,
            retaken=self._lease.inherited_quiet_s is not None,
        )
        self._on_change(True)

    def _quiet_left_s(self) -> float:
        if not self._is_holder:
            return self._rules.between_s
        return max(0, self._orders_from - self._clock.monotonic())

    def _end(self, reason: str) -> None:
        self._is_holder = False
        self._resigned = None
        emit_event(LEADERSHIP_ENDED, fence=self.fence, reason=reason)
        self._on_change(False)
