"""Follow the changes of the objects of one kind."""

import abc
import random
from collections.abc import Awaitable, Callable

import anyio

from cassiarail.core.backoff import Backoff
from cassiarail.core.clock import Clock
from cassiarail.core.events import emit_event
from cassiarail.core.exceptions import StoreError, WatchExpiredError
from cassiarail.store.backends.base import Listing, ObjectStore, WatchBatch
from cassiarail.store.events import (
    WATCH_EXPIRED,
    WATCH_FAILED,
    WATCH_RECOVERED,
)

# The longest wait that the object API accepts; each wait is one billed call.
WATCH_WAIT_S = 30.0
_RETRY_CAP_S = 0.8
_RETRY = Backoff(cap_s=_RETRY_CAP_S)


class Follower(abc.ABC):
    """Receive the objects of one kind and their changes."""

    @abc.abstractmethod
    def apply_listing(self, listing: Listing) -> None:
        """Apply a full listing; objects that it lacks were deleted."""

    @abc.abstractmethod
    def apply_changes(self, batch: WatchBatch) -> None:
        """Apply changed and deleted objects."""


async def _continue_immediately(_started_at: float) -> None:
    """Start the next watch immediately."""


def _ignore_response() -> None:
    """Ignore a response."""


class KindWatcher:
    """List the objects of a kind once, then watch them."""

    def __init__(
        self,
        store: ObjectStore,
        kind: str,
        follower: Follower,
        clock: Clock,
        generator: random.Random,
        pause: Callable[[float], Awaitable[None]] = _continue_immediately,
        on_response: Callable[[], None] = _ignore_response,
    ) -> None:
        """Await ``pause`` after changes, so that one call returns several.

        ``pause`` receives the start time of the call. ``on_response`` is
        called before a response is applied.
        """
        self.kind = kind
        self._pause = pause
        self._on_response = on_response
        self.has_listed = False
        self._store = store
        self._follower = follower
        self._clock = clock
        self._generator = generator
        self._revision: int | None = None
        self._failures = 0
        self._scope = anyio.CancelScope()

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            try:
                self._scope = anyio.CancelScope()
                with self._scope:
                    await self._fetch_changes()
            except WatchExpiredError:
                emit_event(WATCH_EXPIRED, kind=self.kind)
                self._on_response()
                self._revision = None
            except StoreError as error:
                await self._back_off(error)

    @property
    def is_following(self) -> bool:
        """Return whether the last call to the object API succeeded."""
        return self.has_listed and not self._failures

    def resume_after_outage(self) -> None:
        """Cancel a wait that may never get a response after an outage."""
        self._scope.cancel()

    async def _fetch_changes(self) -> None:
        started_at = self._clock.monotonic()
        if self._revision is None:
            listing = await self._store.list_objects(self.kind)
            self._record_success()
            self._follower.apply_listing(listing)
            self._revision = listing.revision
            self.has_listed = True
            return
        batch = await self._store.watch(
            self.kind,
            self._revision,
            WATCH_WAIT_S,
        )
        self._record_success()
        self._follower.apply_changes(batch)
        self._revision = batch.revision
        await self._pause(started_at)

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

    def _record_success(self) -> None:
        if self._failures:
            emit_event(
                WATCH_RECOVERED,
                kind=self.kind,
                failures=self._failures,
            )
            self._failures = 0
        self._on_response()
