"""In-memory object store for tests and randomised runs."""

import collections
from typing import NamedTuple

import anyio
import msgspec

from cassiarail.core.clock import Clock
from cassiarail.core.exceptions import (
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    VersionConflictError,
    WatchExpiredError,
)
from cassiarail.store.backends.base import (
    JsonValue,
    Listing,
    ObjectStore,
    StoredObject,
    WatchBatch,
)
from cassiarail.store.eras import Version, require_same_era

_MAX_CHANGES = 1000


class InjectedFaults:
    """Faults of an in-memory store; all are initially off.

    ``lose_responses`` is the number of next writes that take effect without a
    response, ``drop_writes`` the number of next writes without effect and
    with an unknown outcome, ``slow_s`` the seconds that each call takes.
    """

    def __init__(self) -> None:
        self.outage = False
        self.lose_responses = 0
        self.drop_writes = 0
        self.slow_s = float(0)


class StoreCopy(NamedTuple):
    """Hold what a store contained at one time."""

    revision: int
    stored: dict[tuple[str, str], tuple[int, bytes]]
    changes: tuple[tuple[int, str, str], ...]


class _MemoryState:
    """Hold what the store contains; its clients share it."""

    def __init__(self) -> None:
        self.era = 0
        self.revision = 0
        self.stored: dict[tuple[str, str], tuple[int, bytes]] = {}
        self.changes: collections.deque[tuple[int, str, str]] = (
            collections.deque(maxlen=_MAX_CHANGES)
        )
        self.changed: anyio.Event | None = None

    def wake(self) -> None:
        """Wake the waiting watches."""
        if self.changed is not None:
            self.changed.set()
            self.changed = None


class MemoryObjectStore(ObjectStore):
    """Simulate the object API, with faults that tests can inject.

    Versions come from one revision counter, so an object that was deleted
    and created again never has an earlier version. Its answers name an era as
    soon as one is set.
    """

    def __init__(
        self,
        clock: Clock | None = None,
        state: _MemoryState | None = None,
    ) -> None:
        """Set the clock used to delay slow calls."""
        self.injected_faults = InjectedFaults()
        self.calls: collections.Counter[str] = collections.Counter()
        self._clock = clock
        self._state = state or _MemoryState()

    @property
    def revision(self) -> int:
        """Return the revision of the store in its era."""
        return self._state.revision

    def open_client(self) -> 'MemoryObjectStore':
        """Return another client of the store, with faults of its own."""
        return MemoryObjectStore(self._clock, self._state)

    def begin_era(self, era: int) -> None:
        """Name an era in all answers from now on."""
        self._state.era = era

    def take_copy(self) -> StoreCopy:
        """Return a copy of what the store contains."""
        state = self._state
        return StoreCopy(
            state.revision, dict(state.stored), tuple(state.changes)
        )

    def come_back(self, copy: StoreCopy) -> None:
        """Lose what was written since a copy, and begin the next era."""
        state = self._state
        state.era += 1
        state.revision = copy.revision
        state.stored = dict(copy.stored)
        state.changes = collections.deque(copy.changes, _MAX_CHANGES)
        state.wake()

    async def read(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or ``None`` if it doesn't exist."""
        await self._begin_call('read')
        return self.peek(kind, name)

    async def list_objects(self, kind: str, prefix: str = '') -> Listing:
        """Return the objects of a kind whose names have a prefix."""
        await self._begin_call('list')
        names = sorted(
            name
            for stored_kind, name in self._state.stored
            if stored_kind == kind and name.startswith(prefix)
        )
        found = [self.peek(kind, name) for name in names]
        return Listing(
            self._pack(self.revision), [entry for entry in found if entry]
        )

    async def create(self, kind: str, name: str, document: JsonValue) -> int:
        """Create an object and return its version."""
        return await self._write('create', kind, name, document, None)

    async def replace(
        self,
        kind: str,
        name: str,
        document: JsonValue,
        version: int,
    ) -> int:
        """Replace an object at a known version; return the new version."""
        return await self._write('replace', kind, name, document, version)

    async def delete(self, kind: str, name: str, version: int) -> None:
        """Delete an object at a known version."""
        revision = self.era.require_current(version)
        await self._begin_call('delete')
        self._drop_write_if_injected()
        self._require_version(kind, name, revision)
        self._state.stored.pop((kind, name))
        self._record_change(kind, name)
        self._lose_response_if_injected()
        require_same_era(self._state.era, version, is_write=True)

    async def watch(
        self,
        kind: str,
        after: int,
        timeout_s: float,
        prefix: str = '',
    ) -> WatchBatch:
        """Wait for changes after a revision."""
        await self._begin_call('watch')
        revision = self.era.require_history(after)
        changes = self._state.changes
        oldest = changes[0][0] if changes else 1
        if revision + 1 < oldest or revision > self.revision:
            raise WatchExpiredError(f'revision {after} is not retained')
        era = self._state.era
        with anyio.move_on_after(timeout_s):
            while not (
                self._list_changed_names(kind, revision, prefix)
                or self._state.era != era
            ):
                self._state.changed = self._state.changed or anyio.Event()
                await self._state.changed.wait()
        if self.injected_faults.outage:
            raise StoreUnavailableError('the store is unavailable')
        require_same_era(self._read_era(), after, is_write=False)
        names = self._list_changed_names(kind, revision, prefix)
        found = {name: self.peek(kind, name) for name in names}
        return WatchBatch(
            self._pack(self.revision),
            [entry for entry in found.values() if entry],
            [name for name, entry in found.items() if entry is None],
        )

    def peek(self, kind: str, name: str) -> StoredObject | None:
        """Return an object without a call, for checks in tests."""
        stored = self._state.stored.get((kind, name))
        if stored is None:
            return None
        document = msgspec.json.decode(stored[1])
        return StoredObject(kind, name, self._pack(stored[0]), document)

    async def _begin_call(self, kind: str) -> None:
        self.calls[kind] += 1
        if self.injected_faults.outage:
            raise StoreUnavailableError('the store is unavailable')
        if self.injected_faults.slow_s and self._clock:
            await self._clock.sleep(self.injected_faults.slow_s)
        self._read_era()

    def _read_era(self) -> int:
        """Learn the era, as from the header of an answer."""
        era = self._state.era
        return self.era.read_answer(str(era) if era else None, is_write=False)

    def _pack(self, revision: int) -> int:
        return Version(self._state.era, revision).pack()

    async def _write(
        self,
        call: str,
        kind: str,
        name: str,
        document: JsonValue,
        version: int | None,
    ) -> int:
        revision = None
        if version is not None:
            revision = self.era.require_current(version)
        await self._begin_call(call)
        self._drop_write_if_injected()
        self._require_version(kind, name, revision)
        encoded = msgspec.json.encode(document)
        self._record_change(kind, name)
        written = self.revision
        self._state.stored[kind, name] = (written, encoded)
        self._lose_response_if_injected()
        if version is not None:
            require_same_era(self._state.era, version, is_write=True)
        return self._pack(written)

    def _require_version(
        self, kind: str, name: str, revision: int | None
    ) -> None:
        stored_revision, _ = self._state.stored.get((kind, name), (None, b''))
        if stored_revision != revision:
            raise VersionConflictError(f'{kind}/{name} has a different version')

    def _record_change(self, kind: str, name: str) -> None:
        self._state.revision += 1
        self._state.changes.append((self.revision, kind, name))
        self._state.wake()

    def _drop_write_if_injected(self) -> None:
        if self.injected_faults.drop_writes:
            self.injected_faults.drop_writes -= 1
            raise StoreOutcomeUnknownError('the write was lost')

    def _lose_response_if_injected(self) -> None:
        if self.injected_faults.lose_responses:
            self.injected_faults.lose_responses -= 1
            raise StoreOutcomeUnknownError('the response was lost')

    def _list_changed_names(
        self, kind: str, after: int, prefix: str
    ) -> list[str]:
        names = {
            name
            for revision, changed_kind, name in self._state.changes
            if revision > after
            and changed_kind == kind
            and name.startswith(prefix)
        }
        return sorted(names)
