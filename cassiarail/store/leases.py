"""Hold leases in the object API.

A holder counts its lease from before it sent the request, by its own
monotonic clock. Others count from the moment they saw the version. So the
holder stops first, whatever the delays, as long as clocks run at the same
rate within ``CLOCK_RATE_MARGIN``.
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
# The lease of the host that gives orders to engines.
ORDERS_LEASE = 'orders'
# Share by which two monotonic clocks may differ in rate.
CLOCK_RATE_MARGIN = 0.1
_NEVER = float('-inf')
_NONCE_BITS = 32


class LeaseDocument(TypedDict):
    """Hold a lease; an empty holder means that it was released.

    ``holder`` names a machine and one of its processes. ``quiet_s`` is how
    long the holder still had to keep quiet when it wrote the document.
    """

    holder: str
    fence: int
    duration_s: float
    quiet_s: NotRequired[float]


class _Observation(NamedTuple):
    """Hold the version of another holder's lease and when it was seen."""

    version: int
    seen_at: float


class Lease:
    """Compete for one lease on behalf of one process."""

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
        """Name the lease and the holder.

        The holder gets a random suffix: a restarted process is another
        holder. With ``may_retake``, ``holder`` names a machine that runs one
        process at a time; then the lease of an earlier one there needn't
        lapse before it is taken over. The writer's patience has to be
        shorter than the duration.
        """
        self.name = name
        self.holder = f'{holder}.{generator.getrandbits(_NONCE_BITS):08x}'
        self.holdoff_s = float(0)
        self.inherited_holdoff_s: float | None = None
        self._machine = holder if may_retake else ''
        self._writer = writer
        self._clock = clock
        self._duration_s = duration_s
        self._own: StoredObject | None = None
        self._other: _Observation | None = None
        self._valid_until = _NEVER
        self._released_fence = 0
        self._retired_fence = 0
        self.was_released = False

    @property
    def fence(self) -> int:
        """Return the fencing number of the last acquisition, or 0."""
        return self._own.document['fence'] if self._own else 0

    def is_held(self) -> bool:
        """Tell whether the holder may act now."""
        return (
            self._own is not None
            and self._clock.monotonic() < self._valid_until
        )

    def observe(self, version: int) -> None:
        """Note a version of the lease that was read elsewhere.

        The version may be old: a holder that renewed it since has written
        another one, which the next attempt reads.
        """
        known = self._other.version if self._other else None
        if self._own is None and known != version:
            self._other = _Observation(version, self._clock.monotonic())

    def accept_release(self, fence: int) -> None:
        """Believe a holder that it has given up the lease of a fence."""
        self._released_fence = fence

    def abandon(self) -> None:
        """Stop holding the lease without telling the object API."""
        self._forget()

    def seconds_left(self) -> float:
        """Return how long the holder may still act."""
        if self._own is None:
            return 0
        return max(0, self._valid_until - self._clock.monotonic())

    async def attempt(self, *, only_own: bool = False) -> bool:
        """Acquire or renew the lease; tell whether it is held.

        With ``only_own``, a lease is taken over only from an earlier process
        of this machine. Raises ``StoreError`` if the object API can't be used;
        the lease then lapses by the clock.
        """
        try:
            await self._advance(only_own=only_own)
        except VersionConflictError:
            self._forget()
        return self.is_held()

    async def release(self) -> None:
        """Give the lease back, so that others needn't wait for it."""
        own = self._own
        was_held = self.is_held()
        self._forget()
        if own is None or not was_held:
            return
        document = {**own.document, 'holder': ''}
        try:
            await self._writer.replace(own, document)
        except StoreError:
            # The lease lapses by itself.
            return

    async def _advance(self, *, only_own: bool) -> None:
        if self._own is not None:
            await self._take(self._own, self.fence)
            return
        found = await self._writer.store.read(LEASE_KIND, self.name)
        if found is None:
            if not only_own:
                await self._take(None, 1)
            return
        document = found.document
        if document['holder'] == self.holder:
            # Others may have been told that the holder gave this fence up.
            is_retired = document['fence'] <= self._retired_fence
            self.was_released = False
            self.inherited_holdoff_s = None
            await self._take(found, document['fence'] + is_retired)
        elif self._is_of_this_machine(found):
            self.was_released = False
            self.inherited_holdoff_s = document.get('quiet_s')
            await self._take(found, document['fence'] + 1)
        elif self._has_lapsed(found) and not only_own:
            self.was_released = self._is_released(found)
            self.inherited_holdoff_s = None
            await self._take(found, document['fence'] + 1)

    def _is_of_this_machine(self, found: StoredObject) -> bool:
        machine, _separator, _process = found.document['holder'].rpartition('.')
        return bool(machine) and bool(machine == self._machine)

    def _has_lapsed(self, found: StoredObject) -> bool:
        if self._is_released(found):
            return True
        now = self._clock.monotonic()
        if self._other is None or self._other.version != found.version:
            self._other = _Observation(found.version, now)
            return False
        wait_s = float(found.document['duration_s']) * (1 + CLOCK_RATE_MARGIN)
        return now - self._other.seen_at >= wait_s

    def _is_released(self, found: StoredObject) -> bool:
        document = found.document
        if not document['holder']:
            return True
        return bool(document['fence'] == self._released_fence)

    async def _take(self, base: StoredObject | None, fence: int) -> None:
        asked_at = self._clock.monotonic()
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
        if self._own is None:
            emit_event(LEASE_ACQUIRED, lease=self.name, fence=fence)
        self._own = written
        self._valid_until = asked_at + self._duration_s

    def _forget(self) -> None:
        if self._own is not None:
            emit_event(LEASE_LOST, lease=self.name, fence=self.fence)
            self._retired_fence = self.fence
        self._own = None
        self._other = None
        self._valid_until = _NEVER
