"""In-memory object store for tests and randomised runs."""

import collections

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


class MemoryObjectStore(ObjectStore):
    """Simulate the object API, with faults that tests can inject.

    Versions come from one revision counter, so an object that was deleted
    and created again never has an earlier version.
    """

    def __init__(self, clock: Clock | None = None) -> None:
        """Set the clock used to delay slow calls."""
        self.injected_faults = InjectedFaults()
        self.calls: collections.Counter[str] = collections.Counter()
        self.revision = 0
        self._clock = clock
        self._stored: dict[tuple[str, str], tuple[int, bytes]] = {}
        self._changes: collections.deque[tuple[int, str, str]] = (
            collections.deque(maxlen=_MAX_CHANGES)
        )
        self._changed: anyio.Event | None = None

    async def read(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or ``None`` if it doesn't exist."""
        await self._begin_call('read')
        return self.peek(kind, name)

    async def list_objects(self, kind: str, prefix: str = '') -> Listing:
        """Return the objects of a kind whose names have a prefix."""
        await self._begin_call('list')
        names = sorted(
            name
            for stored_kind, name in self._stored
            if stored_kind == kind and name.startswith(prefix)
        )
        found = [self.peek(kind, name) for name in names]
        return Listing(self.revision, [entry for entry in found if entry])

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
        await self._begin_call('delete')
        self._drop_write_if_injected()
        self._require_version(kind, name, version)
        self._stored.pop((kind, name))
        self._record_change(kind, name)
        self._lose_response_if_injected()

    async def watch(
        self,
        kind: str,
        after: int,
        timeout_s: float,
        prefix: str = '',
    ) -> WatchBatch:
        """Wait for changes after a revision."""
        await self._begin_call('watch')
        oldest = self._changes[0][0] if self._changes else 1
        if after + 1 < oldest:
            raise WatchExpiredError(f'revision {after} is no longer retained')
        with anyio.move_on_after(timeout_s):
            while not self._list_changed_names(kind, after, prefix):
                self._changed = self._changed or anyio.Event()
                await self._changed.wait()
        if self.injected_faults.outage:
            raise StoreUnavailableError('the store is unavailable')
        names = self._list_changed_names(kind, after, prefix)
        found = {name: self.peek(kind, name) for name in names}
        return WatchBatch(
            self.revision,
            [entry for entry in found.values() if entry],
            [name for name, entry in found.items() if entry is None],
        )

    def peek(self, kind: str, name: str) -> StoredObject | None:
        """Return an object without a call, for checks in tests."""
        stored = self._stored.get((kind, name))
        if stored is None:
            return None
        document = msgspec.json.decode(stored[1])
        return StoredObject(kind, name, stored[0], document)

    async def _begin_call(self, kind: str) -> None:
        self.calls[kind] += 1
        if self.injected_faults.outage:
            raise StoreUnavailableError('the store is unavailable')
        if self.injected_faults.slow_s and self._clock:
            await self._clock.sleep(self.injected_faults.slow_s)

    async def _write(
        self,
        call: str,
        kind: str,
        name: str,
        document: JsonValue,
        version: int | None,
    ) -> int:
        await self._begin_call(call)
        self._drop_write_if_injected()
        self._require_version(kind, name, version)
        encoded = msgspec.json.encode(document)
        self._record_change(kind, name)
        written = self.revision
        self._stored[kind, name] = (written, encoded)
        self._lose_response_if_injected()
        return written

    def _require_version(
        self, kind: str, name: str, version: int | None
    ) -> None:
        stored_version, _ = self._stored.get((kind, name), (None, b''))
        if stored_version != version:
            raise VersionConflictError(f'{kind}/{name} has a different version')

    def _record_change(self, kind: str, name: str) -> None:
        self.revision += 1
        self._changes.append((self.revision, kind, name))
        if self._changed is not None:
            self._changed.set()
            self._changed = None

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
            for revision, changed_kind, name in self._changes
            if revision > after
            and changed_kind == kind
            and name.startswith(prefix)
        }
        return sorted(names)
