"""Count the calls of the object API and report failures to the breaker."""

import collections
from collections.abc import Awaitable
from typing import TypeVar

from prometheus_client import CollectorRegistry, Counter, Gauge

from cassiarail.core.clock import Clock
from cassiarail.core.events import emit_event
from cassiarail.core.exceptions import (
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from cassiarail.store.backends.base import (
    JsonValue,
    Listing,
    ObjectStore,
    StoredObject,
    WatchBatch,
)
from cassiarail.store.breaker import StoreBreaker
from cassiarail.store.eras import StoreEra
from cassiarail.store.events import STORE_CALLS
from cassiarail.store.leases import LEASE_KIND
from cassiarail.store.monitor import Checkable

_Response = TypeVar('_Response')
_LOG_PERIOD_S = 10.0


class ObservedStore(ObjectStore, Checkable):
    """Pass all calls to another client of the object API.

    ``breaker`` is open after a failed call until a later one succeeds.
    """

    def __init__(
        self,
        store: ObjectStore,
        checkable: Checkable,
        clock: Clock,
        registry: CollectorRegistry | None = None,
    ) -> None:
        self._store = store
        self._checkable = checkable
        self.breaker = StoreBreaker()
        self._clock = clock
        self._calls: collections.Counter[str] = collections.Counter()
        self._failed = 0
        self._logged_at = clock.monotonic()
        self._total = Counter(
            'cassiarail_store_calls_total',
            'Calls of the object API by kind of call, of object and outcome.',
            ['call', 'kind', 'outcome'],
            registry=registry,
        )
        self._observe_era(registry)

    @property
    def era(self) -> StoreEra:
        """Return the latest known era of the store."""
        return self._store.era

    async def read(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or ``None`` if it doesn't exist."""
        return await self._observe('read', kind, self._store.read(kind, name))

    async def list_objects(self, kind: str, prefix: str = '') -> Listing:
        """Return the objects of a kind whose names have a prefix."""
        listing = self._store.list_objects(kind, prefix)
        return await self._observe('list', kind, listing)

    async def create(self, kind: str, name: str, document: JsonValue) -> int:
        """Create an object and return its version."""
        created = self._store.create(kind, name, document)
        return await self._observe('create', kind, created)

    async def replace(
        self,
        kind: str,
        name: str,
        document: JsonValue,
        version: int,
    ) -> int:
        """Replace an object at a known version; return the new version."""
        replaced = self._store.replace(kind, name, document, version)
        return await self._observe('replace', kind, replaced)

    async def delete(self, kind: str, name: str, version: int) -> None:
        """Delete an object at a known version."""
        deleted = self._store.delete(kind, name, version)
        await self._observe('delete', kind, deleted)

    async def watch(
        self,
        kind: str,
        after: int,
        timeout_s: float,
        prefix: str = '',
    ) -> WatchBatch:
        """Wait for changes after a revision."""
        batch = self._store.watch(kind, after, timeout_s, prefix)
        return await self._observe('watch', kind, batch)

    async def check(self) -> int | None:
        """Read the lease, possibly an old version of it."""
        return await self._observe('check', LEASE_KIND, self._checkable.check())

    def reconnect(self) -> None:
        """Stop using existing connections and open new ones."""
        self._checkable.reconnect()

    async def aclose(self) -> None:
        """Release the connections of the client."""
        await self._store.aclose()

    def log_calls(self) -> None:
        """Log the calls of the last period."""
        now = self._clock.monotonic()
        if now - self._logged_at < _LOG_PERIOD_S or not self._calls:
            return
        emit_event(
            STORE_CALLS,
            seconds=now - self._logged_at,
            calls=dict(self._calls),
            failed=self._failed,
        )
        self._calls.clear()
        self._failed = 0
        self._logged_at = now

    def _observe_era(self, registry: CollectorRegistry | None) -> None:
        """Show the era, and when this process last noticed a new one."""
        Gauge(
            'cassiarail_store_era',
            'Era of the object API; it rises when it comes back from a copy.',
            registry=registry,
        ).set_function(lambda: float(self.era.current))
        changed_at = Gauge(
            'cassiarail_store_era_changed_timestamp_seconds',
            'When this process last noticed a new era, in Unix time, or 0.',
            registry=registry,
        )
        self.era.listeners.append(
            lambda: changed_at.set(self._clock.now().timestamp()),
        )

    async def _observe(
        self,
        call: str,
        kind: str,
        response: Awaitable[_Response],
    ) -> _Response:
        self._calls[f'{call} {kind}'] += 1
        try:
            returned = await response
        except (StoreUnavailableError, StoreOutcomeUnknownError) as error:
            self._failed += 1
            self._total.labels(call, kind, 'failed').inc()
            self.breaker.record_failure(error.message)
            raise
        self._total.labels(call, kind, 'answered').inc()
        self.breaker.record_success()
        return returned
