"""Acquire the placement lease and place models while it is held."""

import random

from cassiarail.controller.events import (
    ROUND_FAILED,
    STORE_FAILED,
    TERM_ENDED,
    TERM_STARTED,
)
from cassiarail.controller.leadership import ControlParts, LeadershipTerm
from cassiarail.controller.status import StatusDocument
from cassiarail.core.clock import Clock
from cassiarail.core.events import emit_event
from cassiarail.core.exceptions import (
    CassiarailError,
    StaleFenceError,
    StoreError,
)
from cassiarail.core.lifecycle import Component
from cassiarail.store.leases import Lease

_RENEWALS_PER_DURATION = 3
_JITTER = 0.2


def add_jitter(seconds: float, generator: random.Random) -> float:
    """Return a period with random jitter, so that processes desynchronise."""
    return seconds * generator.uniform(1 - _JITTER, 1 + _JITTER)


class LeaseLoop(Component):
    """Acquire and renew a lease."""

    def __init__(
        self,
        lease: Lease,
        duration_s: float,
        clock: Clock,
        generator: random.Random,
    ) -> None:
        """Set the period to a third of the lease duration."""
        self.name = f'lease-{lease.name}'
        self._lease = lease
        self._period_s = duration_s / _RENEWALS_PER_DURATION
        self._clock = clock
        self._generator = generator

    async def run(self) -> None:
        """Acquire or renew the lease periodically until cancelled."""
        while True:
            try:
                await self._lease.attempt()
            except StoreError as error:
                emit_event(STORE_FAILED, error=str(error))
            await self._clock.sleep(add_jitter(self._period_s, self._generator))

    async def stop(self) -> None:
        """Release the lease."""
        await self._lease.release()


class PlacementLoop(Component):
    """Place models while the lease is held; do nothing otherwise."""

    name = 'placement'

    def __init__(
        self,
        parts: ControlParts,
        lease: Lease,
        interval_s: float,
    ) -> None:
        """Do one round of placement each ``interval_s`` seconds."""
        self.status: StatusDocument | None = None
        self._parts = parts
        self._lease = lease
        self._interval_s = interval_s
        self._term: LeadershipTerm | None = None
        self._is_draining = False

    async def run(self) -> None:
        """Do placement rounds until cancelled."""
        while not self._is_draining:
            await self.step()
            await self._parts.clock.sleep(
                add_jitter(self._interval_s, self._parts.generator),
            )

    async def drain(self) -> None:
        """Start no further round."""
        self._is_draining = True

    async def stop(self) -> None:
        """Close the connections to engines."""
        await self._parts.admin.aclose()

    async def step(self) -> None:
        """Do one round if the lease is held."""
        declarations = self._parts.declarations()
        if declarations is None or not self._lease.is_held():
            self._end_term()
            return
        term = self._term
        if term is None or term.fence != self._lease.fence:
            term = LeadershipTerm(self._parts, self._lease, declarations)
            self._term = term
            emit_event(TERM_STARTED, fence=term.fence)
        try:
            self.status = await term.step(declarations)
        except StaleFenceError:
            self._end_term()
            await self._lease.release()
        except StoreError as error:
            emit_event(STORE_FAILED, error=str(error))
        except CassiarailError as error:
            emit_event(ROUND_FAILED, error=str(error))

    def _end_term(self) -> None:
        if self._term is not None:
            emit_event(TERM_ENDED, fence=self._term.fence)
        self._term = None
        self.status = None
