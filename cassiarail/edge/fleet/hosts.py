"""Register this host, and list all hosts while it is leader."""

import random
from collections.abc import Awaitable, Callable, Iterable, Iterator, Mapping

import anyio

from cassiarail.core.backoff import Backoff
from cassiarail.core.clock import Clock
from cassiarail.core.events import emit_event
from cassiarail.core.exceptions import StoreError, VersionConflictError
from cassiarail.core.lifecycle import Component
from cassiarail.edge.events import HOST_ENTRY_UNREADABLE, HOST_NOT_REGISTERED
from cassiarail.edge.fleet.broadcast import Host
from cassiarail.http1.pool import Address
from cassiarail.store.backends.base import (
    Listing,
    StoredObject,
    WatchBatch,
)
from cassiarail.store.observed import ObservedStore
from cassiarail.store.pacing import ContinuousPacer
from cassiarail.store.watching import Follower, KindWatcher

HOST_KIND = 'cassiarail-hosts'
_CHECK_INTERVAL_S = 0.2
# If a response is lost, new hosts get no state updates for this long.
_WAIT_S = 10.0
# Hosts check their entries in a new era at random times within this.
_RESTORE_WITHIN_S = 1.0
_RETRY = Backoff()


class HostList(Follower):
    """Hold all registered hosts."""

    def __init__(self) -> None:
        self.is_current = False
        self._hosts: dict[str, Host] = {}

    def __iter__(self) -> Iterator[Host]:
        return iter(self._hosts.values())

    def apply_listing(self, listing: Listing) -> None:
        """Replace all hosts."""
        self._hosts.clear()
        for entry in listing.entries:
            self._apply(entry)
        self.is_current = True

    def apply_changes(self, batch: WatchBatch) -> None:
        """Apply new and removed hosts."""
        for entry in batch.entries:
            self._apply(entry)
        for name in batch.deleted:
            self._hosts.pop(name, None)

    def _apply(self, entry: StoredObject) -> None:
        document = entry.document
        try:
            host = Host(
                Address.parse(str(document['address'])),
                str(document['data_centre']),
            )
        except (LookupError, TypeError, ValueError) as error:
            emit_event(
                HOST_ENTRY_UNREADABLE,
                host=entry.name,
                error=repr(error),
            )
            return
        self._hosts[entry.name] = host


class HostRegistry(Component):
    """Write this host's entry, and watch the other hosts when needed."""

    name = 'host registry'

    def __init__(
        self,
        store: ObservedStore,
        entry: tuple[str, Mapping[str, str]],
        is_needed: Callable[[], bool],
        clock: Clock,
        generator: random.Random,
    ) -> None:
        """Watch the other hosts while ``is_needed`` returns true."""
        self.hosts = HostList()
        self._store = store
        self._name = entry[0]
        self._document = entry[1]
        self._is_needed = is_needed
        self._clock = clock
        self._generator = generator
        self._is_restoring = False
        store.era.listeners.append(self._restore_soon)

    def list_current(self) -> Iterable[Host]:
        """Return all hosts, or none unless they are being watched."""
        return self.hosts if self.hosts.is_current else ()

    async def run(self) -> None:
        """Register, then watch the other hosts while they are needed."""
        await self._register(self._write_entry)
        async with anyio.create_task_group() as group:
            group.start_soon(self._restore_entry)
            while True:
                if self._is_needed():
                    await self._watch_hosts()
                await self._clock.sleep(_CHECK_INTERVAL_S)

    def _restore_soon(self) -> None:
        self._is_restoring = True

    async def _restore_entry(self) -> None:
        """Write the entry again after each change of the store's era."""
        while True:
            if self._is_restoring:
                self._is_restoring = False
                pause_s = _RESTORE_WITHIN_S * self._generator.random()
                await self._clock.sleep(pause_s)
                await self._register(self._update_entry)
            await self._clock.sleep(_CHECK_INTERVAL_S)

    async def _register(self, write: Callable[[], Awaitable[None]]) -> None:
        failures = 0
        while True:
            try:
                await write()
            except VersionConflictError:
                failures += 1
            except StoreError as error:
                if not failures:
                    emit_event(HOST_NOT_REGISTERED, error=error.message)
                failures += 1
            else:
                return
            await self._clock.sleep(_RETRY.delay(failures, self._generator))
            await self._store.breaker.wait_until_closed()

    async def _write_entry(self) -> None:
        document = dict(self._document)
        try:
            await self._store.create(HOST_KIND, self._name, document)
        except VersionConflictError:
            await self._update_entry()

    async def _update_entry(self) -> None:
        """Update the entry of an earlier process, or write a lost one."""
        document = dict(self._document)
        found = await self._store.read(HOST_KIND, self._name)
        if found is None:
            await self._store.create(HOST_KIND, self._name, document)
        elif found.document != document:
            await self._store.replace(
                HOST_KIND,
                self._name,
                document,
                found.version,
            )

    async def _watch_hosts(self) -> None:
        watcher = KindWatcher(
            self._store,
            HOST_KIND,
            self.hosts,
            self._clock,
            self._generator,
            ContinuousPacer(_WAIT_S),
            self._store.breaker,
        )
        async with anyio.create_task_group() as group:
            group.start_soon(watcher.run)
            while self._is_needed():
                await self._clock.sleep(_CHECK_INTERVAL_S)
            group.cancel_scope.cancel()
        self.hosts.is_current = False
