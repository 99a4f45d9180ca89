"""Follow the changes of the objects of one kind."""

import abc
import random
from collections.abc import Callable

import anyio

from cassiarail.core.backoff import Backoff
from cassiarail.core.clock import Clock
from cassiarail.core.events import emit_event
from cassiarail.core.exceptions import StoreError, WatchExpiredError
from cassiarail.store.backends.base import Listing, ObjectStore, WatchBatch
from cassiarail.store.breaker import StoreBreaker
from cassiarail.store.eras import Version
from cassiarail.store.events import (
    WATCH_EXPIRED,
    WATCH_FAILED,
    WATCH_RECOVERED,
)
from cassiarail.store.leases import CLOCK_RATE_MARGIN
from cassiarail.store.pacing import ContinuousPacer, WatchPacer

_RETRY_CAP_S = 0.8
# The object API retains changes for 20 s. A watch that paused for longer than
# this lists again, which costs as much as a watch that is refused.
_HISTORY_S = 15.0
_NEVER = float('-inf')
_RETRY = Backoff(cap_s=_RETRY_CAP_S)


class Follower(abc.ABC):
    """Receive the objects of one kind and their changes."""

    @abc.abstractmethod
    def apply_listing(self, listing: Listing) -> None:
        """Apply a full listing; objects that it lacks were deleted."""

    @abc.abstractmethod
    def apply_changes(self, batch: WatchBatch) -> None:
        """Apply changed and deleted objects."""


def _ignore_response() -> None:
    """Ignore a response."""


class KindWatcher:
    """List the objects of a kind once, then watch them.

    ``confirmed_at`` is the latest time up to which all changes are known to
    have been applied, by the monotonic clock.
    """

    def __init__(
        self,
        store: ObjectStore,
        kind: str,
        follower: Follower,
        clock: Clock,
        generator: random.Random,
        pacer: WatchPacer | None = None,
        breaker: StoreBreaker | None = None,
        on_response: Callable[[], None] = _ignore_response,
    ) -> None:
        """Call ``on_response`` before a response is applied."""
        self.kind = kind
        self.confirmed_at = _NEVER
        self.has_listed = False
        self._pacer = pacer or ContinuousPacer()
        self._breaker = breaker or StoreBreaker()
        self._on_response = on_response
        self._store = store
        self._follower = follower
        self._clock = clock
        self._generator = generator
        self._revision: int | None = None
        self._failures = 0
        self._call_scope: anyio.CancelScope | None = None

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            try:
                await self._fetch_changes()
            except WatchExpiredError:
                emit_event(WATCH_EXPIRED, kind=self.kind)
                self._on_response()
                self._revision = None
            except StoreError as error:
                await self._back_off(error)

    def resume_after_outage(self) -> None:
        """Cancel a call that may never get a response after an outage."""
        if self._call_scope is not None:
            self._call_scope.cancel()

    def resume_in_era(self, era: int) -> None:
        """Cancel a wait for changes after a revision of an earlier era."""
        revision = self._revision
        if revision is not None and Version.unpack(revision).era < era:
            self.resume_after_outage()

    async def _fetch_changes(self) -> None:
        await self._breaker.wait_until_closed()
        started_at = self._clock.monotonic()
        if started_at - self.confirmed_at > _HISTORY_S:
            self._revision = None
        with anyio.CancelScope() as scope:
            self._call_scope = scope
            try:
                await self._call_store(started_at)
            finally:
                self._call_scope = None
        if not scope.cancelled_caught:
            await self._pacer.pause(started_at)

    async def _call_store(self, started_at: float) -> None:
        if self._revision is None:
            listing = await self._store.list_objects(self.kind)
            self._record_success(started_at)
            self._follower.apply_listing(listing)
            self._revision = listing.revision
            self.has_listed = True
            return
        wait_s = self._pacer.wait_s()
        batch = await self._store.watch(self.kind, self._revision, wait_s)
        waited_s = wait_s * (1 - CLOCK_RATE_MARGIN)
        has_waited = self._clock.monotonic() - started_at >= waited_s
        is_empty = not (batch.entries or batch.deleted)
        # A call that found nothing has seen everything until its wait ended.
        self._record_success(
            started_at + waited_s if is_empty and has_waited else started_at,
        )
        self._follower.apply_changes(batch)
        self._revision = batch.revision

    async def _back_off(self, error: StoreError) -> None:
        if not self._failures:
            emit_event(WATCH_FAILED, kind=self.kind, error=error.message)
        self._failures += 1
        # An interrupted watch may have missed changes that are no longer in
        # the history.
        self._revision = None
        await self._clock.sleep(
            _RETRY.delay(self._failures, self._generator),
        )
        if self.has_listed:
            await self._pacer.pause_after_failure()

    def _record_success(self, confirmed_at: float) -> None:
        self.confirmed_at = max(self.confirmed_at, confirmed_at)
        if self._failures:
            emit_event(
                WATCH_RECOVERED,
                kind=self.kind,
                failures=self._failures,
            )
            self._failures = 0
        self._on_response()
