"""Acquire, renew and release leases in the object API.

A holder measures its lease from before it sent the request, by its own
monotonic clock. Others measure it from the time at which they read that
version. The holder therefore stops first regardless of delays, as long as
clock rates differ by less than ``CLOCK_RATE_MARGIN``.
"""

import random
from typing import NamedTuple, NotRequired

from typing_extensions import TypedDict

from cassiarail.core.clock import Clock
from cassiarail.core.events import emit_event
from cassiarail.core.exceptions import StoreError, VersionConflictError
from cassiarail.store.backends.base import StoredObject
from cassiarail.store.events import LEASE_ACQUIRED, LEASE_LOST
from cassiarail.store.writes import ConditionalWriter

LEASE_KIND = 'lease'
# The lease of the leader, the host that sends orders to engines.
ORDERS_LEASE = 'orders'
# Maximum relative difference between the rates of two monotonic clocks.
CLOCK_RATE_MARGIN = 0.1
_NEVER = float('-inf')
_NONCE_BITS = 32


class LeaseDocument(TypedDict):
    """Lease as the object API stores it; released if the holder is empty.

    ``holder`` names a machine and one of its processes. ``quiet_s`` is the
    remaining order hold-off of the holder when it wrote the document.
    """

    holder: str
    fence: int
    duration_s: float
    quiet_s: NotRequired[float]


class _Observation(NamedTuple):
    """Version of another holder's lease and when it was first read."""

    version: int
    seen_at: float


class Lease:
    """Acquire and renew one lease for one process."""

    def __init__(
        self,
        writer: ConditionalWriter,
        name: str,
        holder: str,
        clock: Clock,
        generator: random.Random,
        duration_s: float,
        *,
        may_retake: bool = False,
    ) -> None:
        """Set the names of the lease and its holder.

        The holder gets a random suffix, so a restarted process is a new
        holder. With ``may_retake``, ``holder`` names a machine that runs one
        process at a time; the lease of an earlier process on it can be taken
        over before it expires. The writer's timeout has to be shorter than
        ``duration_s``.
        """
        self.name = name
        self.holder = f'{holder}.{generator.getrandbits(_NONCE_BITS):08x}'
        self.holdoff_s = float(0)
        self.inherited_holdoff_s: float | None = None
        self._machine = holder if may_retake else ''
        self._writer = writer
        self._clock = clock
        self._duration_s = duration_s
        self._held_lease: StoredObject | None = None
        self._observation: _Observation | None = None
        self._valid_until = _NEVER
        self._released_fence = 0
        self._retired_fence = 0
        self.was_released = False

    @property
    def fence(self) -> int:
        """Return the fencing token of the last acquisition, or 0."""
        return self._held_lease.document['fence'] if self._held_lease else 0

    def is_held(self) -> bool:
        """Return whether this process currently holds the lease."""
        return (
            self._held_lease is not None
            and self._clock.monotonic() < self._valid_until
        )

    def observe(self, version: int) -> None:
        """Record a version of the lease that was read elsewhere.

        The version may be outdated: if the holder has renewed the lease, the
        next attempt reads the newer version.
        """
        known = self._observation.version if self._observation else None
        if self._held_lease is None and known != version:
            self._observation = _Observation(version, self._clock.monotonic())

    def accept_release(self, fence: int) -> None:
        """Treat the lease with a fencing token as released by its holder."""
        self._released_fence = fence

    def abandon(self) -> None:
        """Stop holding the lease without releasing it in the object API."""
        self._clear()

    def seconds_left(self) -> float:
        """Return the seconds until the lease of this process expires."""
        if self._held_lease is None:
            return 0
        return max(0, self._valid_until - self._clock.monotonic())

    def expires_in_s(self) -> float:
        """Return the seconds until another holder's lease counts as expired.

        The result is 0 if no lease of another holder was read.
        """
        if self._observation is None:
            return 0
        wait_s = self._duration_s * (1 + CLOCK_RATE_MARGIN)
        age_s = self._clock.monotonic() - self._observation.seen_at
        return max(0, wait_s - age_s)

    async def attempt(self, *, only_own: bool = False) -> bool:
        """Acquire or renew the lease; return whether it is held.

        With ``only_own``, a lease is taken over only from an earlier process
        of this machine. Raises ``StoreError`` if the object API call fails;
        the lease then expires at its deadline.
        """
        try:
            await self._acquire_or_renew(only_own=only_own)
        except VersionConflictError:
            self._clear()
        return self.is_held()

    async def release(self) -> None:
        """Release the lease, so that others don't wait until it expires."""
        held_lease = self._held_lease
        was_held = self.is_held()
        self._clear()
        if held_lease is None or not was_held:
            return
        document = {**held_lease.document, 'holder': ''}
        try:
            await self._writer.replace(held_lease, document)
        except StoreError:
            # The lease expires without a release.
            return

    async def _acquire_or_renew(self, *, only_own: bool) -> None:
        if self._held_lease is not None:
            await self._write_lease(self._held_lease, self.fence)
            return
        stored = await self._writer.store.read(LEASE_KIND, self.name)
        if stored is None:
            if not only_own:
                await self._write_lease(None, 1)
            return
        document = stored.document
        if document['holder'] == self.holder:
            # Others may treat this fencing token as released.
            is_retired = document['fence'] <= self._retired_fence
            self.was_released = False
            self.inherited_holdoff_s = None
            await self._write_lease(stored, document['fence'] + is_retired)
        elif self._belongs_to_this_machine(stored):
            self.was_released = False
            self.inherited_holdoff_s = document.get('quiet_s')
            await self._write_lease(stored, document['fence'] + 1)
        elif self._has_expired(stored) and not only_own:
            self.was_released = self._is_released(stored)
            self.inherited_holdoff_s = None
            await self._write_lease(stored, document['fence'] + 1)

    def _belongs_to_this_machine(self, stored: StoredObject) -> bool:
        machine, _separator, _process = stored.document['holder'].rpartition(
            '.'
        )
        return bool(machine) and bool(machine == self._machine)

    def _has_expired(self, stored: StoredObject) -> bool:
        if self._is_released(stored):
            return True
        now = self._clock.monotonic()
        if (
            self._observation is None
            or self._observation.version != stored.version
        ):
            self._observation = _Observation(stored.version, now)
            return False
        wait_s = float(stored.document['duration_s']) * (1 + CLOCK_RATE_MARGIN)
        return now - self._observation.seen_at >= wait_s

    def _is_released(self, stored: StoredObject) -> bool:
        document = stored.document
        if not document['holder']:
            return True
        return bool(document['fence'] == self._released_fence)

    async def _write_lease(self, base: StoredObject | None, fence: int) -> None:
        requested_at = self._clock.monotonic()
        document = LeaseDocument(
            holder=self.holder,
            fence=fence,
            duration_s=self._duration_s,
            quiet_s=self.holdoff_s,
        )
        writer = self._writer
        if base is None:
            written = await writer.create(LEASE_KIND, self.name, document)
        else:
            written = await writer.replace(base, document)
        if written.document['holder'] != self.holder:
            raise VersionConflictError(f'lease {self.name} was taken over')
        if self._held_lease is None:
            emit_event(LEASE_ACQUIRED, lease=self.name, fence=fence)
        self._held_lease = written
        self._valid_until = requested_at + self._duration_s

    def _clear(self) -> None:
        if self._held_lease is not None:
            emit_event(LEASE_LOST, lease=self.name, fence=self.fence)
            self._retired_fence = self.fence
        self._held_lease = None
        self._observation = None
        self._valid_until = _NEVER
