"""Acquire, renew and release leases in the object API.

A holder measures its lease from before it sent the request, by its own
monotonic clock. Others measure it from the time at which they read that
version. The holder therefore stops first regardless of delays, as long as
clock rates differ by less than ``CLOCK_RATE_MARGIN``.

A store that comes back from a copy may have lost the lease. What it holds then
was written in an earlier era and proves nothing: the last holder may take the
lease again while its own time lasts; all others wait for a whole lease. Fencing
tokens contain the era, so that none is given out twice.
"""

import random
from typing import NamedTuple, NotRequired

from typing_extensions import TypedDict

from cassiarail.core.clock import Clock
from cassiarail.core.events import emit_event
from cassiarail.core.exceptions import StoreError, VersionConflictError
from cassiarail.store.backends.base import StoredObject
from cassiarail.store.eras import Version
from cassiarail.store.events import LEASE_ACQUIRED, LEASE_LOST
from cassiarail.store.writes import ConditionalWriter

LEASE_KIND = 'lease'
# The lease of the leader, the host that sends orders to engines.
ORDERS_LEASE = 'orders'
# Maximum relative difference between the rates of two monotonic clocks.
CLOCK_RATE_MARGIN = 0.1
_NEVER = float('-inf')
_NONCE_BITS = 32
# One attempt finds that the store has begun a new era, the next one acquires.
_ATTEMPTS = 2
_FIRST = 1


def is_first_fence(fence: int) -> bool:
    """Return whether no other term can have been before that of a token."""
    return Version.unpack(fence).number <= _FIRST


class LeaseDocument(TypedDict):
    """Lease as the object API stores it; released if the holder is empty.

    ``holder`` names a machine and one of its processes. ``quiet_s`` is the
    remaining order hold-off of the holder when it wrote the document. ``era``
    is the era that it knew, if the store names one.
    """

    holder: str
    fence: int
    duration_s: float
    quiet_s: NotRequired[float]
    era: NotRequired[int]


class _OwnRemainder(NamedTuple):
    """Hold what is left to the holder of a lease that the store has lost."""

    until: float
    holdoff_s: float


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
        self._era = writer.store.era
        self._own_remainder = _OwnRemainder(_NEVER, 0)
        self._lost_at: float | None = None
        self._era.listeners.append(self._record_new_era)

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
        self._own_remainder = _OwnRemainder(_NEVER, 0)

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
        for _ in range(_ATTEMPTS):
            has_held = self._held_lease is not None
            try:
                await self._acquire_or_renew(only_own=only_own)
            except VersionConflictError:
                self._clear()
                if has_held and self._is_own_remainder():
                    continue
            break
        return self.is_held()

    async def release(self) -> None:
        """Release the lease, so that others don't wait until it expires."""
        held_lease = self._held_lease
        was_held = self.is_held()
        self.abandon()
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
        if self._is_lost(stored):
            await self._acquire_lost(stored, only_own=only_own)
            return
        if stored is None:
            if not only_own:
                first = Version(self._era.current, _FIRST)
                await self._write_lease(None, first.pack())
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

    def _is_lost(self, stored: StoredObject | None) -> bool:
        """Return whether the store may have lost what the lease was."""
        if stored is None:
            return self._era.may_have_lost
        written_in = stored.document.get('era', 0)
        return bool(written_in < Version.unpack(stored.version).era)

    async def _acquire_lost(
        self, stored: StoredObject | None, *, only_own: bool
    ) -> None:
        """Acquire a lost lease, unless another process may still hold it."""
        now = self._clock.monotonic()
        if self._lost_at is None:
            self._lost_at = now
        is_own = self._is_own_remainder()
        wait_s = self._duration_s * (1 + CLOCK_RATE_MARGIN)
        if not is_own and (only_own or now - self._lost_at < wait_s):
            return
        self.was_released = False
        self.inherited_holdoff_s = None
        if is_own:
            self.inherited_holdoff_s = self._own_remainder.holdoff_s
        known = stored.document['fence'] if stored else _FIRST
        number = Version.unpack(max(known, self._retired_fence)).number
        fence = Version(self._era.current, number + 1)
        await self._write_lease(stored, fence.pack())

    def _is_own_remainder(self) -> bool:
        """Return whether this process held the lease that was lost."""
        return self._clock.monotonic() < self._own_remainder.until

    def _record_new_era(self) -> None:
        self._lost_at = self._clock.monotonic()

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
        era = self._era.current
        if era:
            document['era'] = era
        writer = self._writer
        if base is None:
            written = await writer.create(LEASE_KIND, self.name, document)
        else:
            written = await writer.replace(base, document)
        if written.document['holder'] != self.holder:
            raise VersionConflictError(f'lease {self.name} was taken over')
        if Version.unpack(written.version).era != era:
            raise VersionConflictError(f'lease {self.name} may be lost')
        if self._held_lease is None:
            emit_event(LEASE_ACQUIRED, lease=self.name, fence=fence)
        self._own_remainder = _OwnRemainder(_NEVER, 0)
        self._held_lease = written
        self._valid_until = requested_at + self._duration_s

    def _clear(self) -> None:
        if self._held_lease is not None:
            emit_event(LEASE_LOST, lease=self.name, fence=self.fence)
            self._retired_fence = self.fence
            if self._era.is_past(self._held_lease.version):
                self._own_remainder = _OwnRemainder(
                    self._valid_until, self.holdoff_s
                )
        self._held_lease = None
        self._observation = None
        self._valid_until = _NEVER
