"""Store quarantines in the object API, so that restarts don't lose them.

Each host reads them when it starts. The leader writes them and follows what
operators change. A host that wants to send a probe claims it by a conditional
write, so that of all hosts only one does.
"""

import datetime as dt
import random
from collections.abc import Callable

import anyio
import msgspec

from cassiarail.core.backoff import Backoff
from cassiarail.core.clock import Clock
from cassiarail.core.events import emit_event
from cassiarail.core.exceptions import StoreError, VersionConflictError
from cassiarail.core.lifecycle import Component
from cassiarail.edge.crashes.documents import (
    QUARANTINE_KIND,
    QUARANTINE_NAME,
    QuarantineDocument,
    decode_quarantines,
    describe_entry,
    is_released,
    read_entry,
)
from cassiarail.edge.crashes.quarantines import QuarantineListener, Quarantines
from cassiarail.edge.events import (
    PROBE_CLAIMED,
    QUARANTINES_NOT_STORED,
    QUARANTINES_UNREADABLE,
)
from cassiarail.limits.crash_attribution import Quarantine
from cassiarail.store.backends.base import Listing, StoredObject, WatchBatch
from cassiarail.store.observed import ObservedStore
from cassiarail.store.pacing import ContinuousPacer
from cassiarail.store.watching import Follower, KindWatcher

_TICK_S = 0.2
_WATCH_S = 10.0
_RETRY = Backoff()


class QuarantineKeeper(Component, QuarantineListener, Follower):
    """Read, write and follow the stored quarantines."""

    name = 'quarantine keeper'

    def __init__(
        self,
        store: ObservedStore,
        quarantines: Quarantines,
        is_leader: Callable[[], bool],
        clock: Clock,
        generator: random.Random,
    ) -> None:
        """Write and follow while ``is_leader`` returns true."""
        self._store = store
        self._quarantines = quarantines
        self._is_leader = is_leader
        self._clock = clock
        self._generator = generator
        self._has_changed = False
        self._is_claiming = False
        self._released: set[frozenset[str]] = set()
        quarantines.listeners.append(self)
        store.era.listeners.append(self._restore_soon)

    async def run(self) -> None:
        """Read what is stored, then keep it up to date while leader."""
        await self._read_at_start()
        while True:
            if self._is_leader():
                await self._keep()
            await self._clock.sleep(_TICK_S)

    def on_quarantine(self, quarantine: Quarantine, source: str) -> None:
        """Write a new quarantine."""
        self._released.discard(quarantine.parts)
        self._has_changed = True

    def on_release(self, parts: frozenset[str]) -> None:
        """Write the end of a quarantine."""
        self._released.add(parts)
        self._has_changed = True

    def apply_listing(self, listing: Listing) -> None:
        """Apply what is stored."""
        for entry in listing.entries:
            self._apply(entry)

    def apply_changes(self, batch: WatchBatch) -> None:
        """Apply what another host or an operator has changed."""
        for entry in batch.entries:
            self._apply(entry)

    async def claim_probe(self, quarantine: Quarantine) -> bool:
        """Return whether this host may send the next probe."""
        now = self._clock.monotonic()
        if now < quarantine.probe_at or quarantine.is_banned:
            return False
        if self._is_claiming or self._store.breaker.is_open:
            return False
        self._is_claiming = True
        try:
            await self._write(
                lambda document: _count_probe(
                    document, quarantine, self._unix()
                )
            )
        except (StoreError, _ProbeTakenError):
            return False
        finally:
            self._is_claiming = False
        self._quarantines.record_probe(quarantine)
        emit_event(
            PROBE_CLAIMED,
            parts=sorted(quarantine.parts),
            probe=quarantine.probes + 1,
        )
        return True

    def _restore_soon(self) -> None:
        """Write again what the store may have lost."""
        self._has_changed = True

    async def _read_at_start(self) -> None:
        failures = 0
        while True:
            try:
                stored = await self._store.read(
                    QUARANTINE_KIND, QUARANTINE_NAME
                )
            except StoreError:
                failures += 1
                await self._clock.sleep(_RETRY.delay(failures, self._generator))
                await self._store.breaker.wait_until_closed()
            else:
                if stored is not None:
                    self._apply(stored)
                return

    async def _keep(self) -> None:
        """Follow and write until this host is no longer leader."""
        watcher = KindWatcher(
            self._store,
            QUARANTINE_KIND,
            self,
            self._clock,
            self._generator,
            ContinuousPacer(_WATCH_S),
            self._store.breaker,
        )
        async with anyio.create_task_group() as group:
            group.start_soon(watcher.run)
            while self._is_leader():
                if self._has_changed and watcher.has_listed:
                    await self._write_changes()
                await self._clock.sleep(_TICK_S)
            group.cancel_scope.cancel()

    async def _write_changes(self) -> None:
        self._has_changed = False
        try:
            await self._write(self._merge)
        except StoreError as error:
            self._has_changed = True
            if not isinstance(error, VersionConflictError):
                emit_event(QUARANTINES_NOT_STORED, error=error.message)
                await self._store.breaker.wait_until_closed()

    async def _write(
        self,
        change: Callable[[QuarantineDocument], QuarantineDocument],
    ) -> None:
        """Change the stored document, unless that changes nothing."""
        stored = await self._store.read(QUARANTINE_KIND, QUARANTINE_NAME)
        try:
            before = decode_quarantines(stored.document if stored else None)
        except msgspec.ValidationError as error:
            # Operators may still need what another writer has damaged.
            raise VersionConflictError('the document is unreadable') from error
        after = change(before)
        document = msgspec.to_builtins(after)
        if stored is None:
            await self._store.create(QUARANTINE_KIND, QUARANTINE_NAME, document)
        elif after != before:
            await self._store.replace(
                QUARANTINE_KIND, QUARANTINE_NAME, document, stored.version
            )

    def _merge(self, document: QuarantineDocument) -> QuarantineDocument:
        """Return the document with the quarantines that this host knows."""
        now, unix = self._clock.monotonic(), self._unix()
        stored = {frozenset(each.parts): each for each in document.entries}
        for parts in self._released:
            stored.pop(parts, None)
        for quarantine in self._quarantines.all:
            entry = describe_entry(quarantine, now, unix)
            if not is_released(document, entry):
                known = stored.setdefault(quarantine.parts, entry)
                stored[quarantine.parts] = known.add_probes(entry)
        return msgspec.structs.replace(document, entries=list(stored.values()))

    def _apply(self, stored: StoredObject) -> None:
        try:
            document = decode_quarantines(stored.document)
        except msgspec.ValidationError as error:
            emit_event(
                QUARANTINES_UNREADABLE,
                revision=stored.version,
                error=str(error),
            )
            return
        now, unix = self._clock.monotonic(), self._unix()
        for known in self._quarantines.all:
            if is_released(document, describe_entry(known, now, unix)):
                self._quarantines.lift(known.parts, now, 'operator')
        for entry in document.entries:
            if frozenset(entry.parts) not in self._released:
                self._quarantines.adopt(read_entry(entry, now, unix), 'store')

    def _unix(self) -> float:
        return self._clock.now().astimezone(dt.UTC).timestamp()


class _ProbeTakenError(Exception):
    """Report that another host has claimed a probe."""


def _count_probe(
    document: QuarantineDocument, quarantine: Quarantine, unix: float
) -> QuarantineDocument:
    for entry in document.entries:
        is_same = frozenset(entry.parts) == quarantine.parts
        if is_same and entry.probes == quarantine.probes:
            counted = entry.count_probe(unix)
            others = [each for each in document.entries if each is not entry]
            return msgspec.structs.replace(document, entries=[*others, counted])
    raise _ProbeTakenError
