"""Follow the objects of one kind."""

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
    WATCH_LOST,
    WATCH_REGAINED,
)

# The longest wait that the object API takes; each wait is one priced call.
WATCH_WAIT_S = 30.0
_RETRY_CAP_S = 0.8
_RETRY = Backoff(cap_s=_RETRY_CAP_S)


class Follower(abc.ABC):
    """Take the objects of one kind as they change."""

    @abc.abstractmethod
    def apply_listing(self, listing: Listing) -> None:
        """Take all objects; what is not listed is gone."""

    @abc.abstractmethod
    def apply_changes(self, batch: WatchBatch) -> None:
        """Take changes."""


async def _go_on(_begun_at: float) -> None:
    """Watch again at once."""


def _ignore_answer() -> None:
    """Take no notice of an answer."""


class KindWatcher:
    """List the objects of a kind once, then watch them."""

    def __init__(
        self,
        store: ObjectStore,
        kind: str,
        follower: Follower,
        clock: Clock,
        generator: random.Random,
        pause: Callable[[float], Awaitable[None]] = _go_on,
        on_response: Callable[[], None] = _ignore_answer,
    ) -> None:
        """Await ``pause`` after changes, so that one call brings several.

        It is given the time at which the call was begun. Call ``on_response``
        before an answer is taken.
        """
        self.kind = kind
        self._pause = pause
        self._on_answer = on_response
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
                    await self._advance()
            except WatchExpiredError:
                emit_event(WATCH_EXPIRED, kind=self.kind)
                self._on_answer()
                self._revision = None
            except StoreError as error:
                await self._wait_after(error)

    @property
    def is_following(self) -> bool:
        """Tell whether the last call to the object API succeeded."""
        return self.has_listed and not self._failures

    def resume_after_outage(self) -> None:
        """Drop a wait that an outage may have left without an answer."""
        self._scope.cancel()

    async def _advance(self) -> None:
        begun_at = self._clock.monotonic()
        if self._revision is None:
            listing = await self._store.list_objects(self.kind)
            self._note_success()
            self._follower.apply_listing(listing)
            self._revision = listing.revision
            self.has_listed = True
            return
        batch = await self._store.watch(
            self.kind,
            self._revision,
            WATCH_WAIT_S,
        )
        self._note_success()
        self._follower.apply_changes(batch)
        self._revision = batch.revision
        await self._pause(begun_at)

    async def _wait_after(self, error: StoreError) -> None:
        if not self._failures:
            emit_event(WATCH_LOST, kind=self.kind, error=error.message)
        self._failures += 1
        # A watch that was cut may have missed changes whose history is gone.
        self._revision = None
        await self._clock.sleep(
            _RETRY.delay(self._failures, self._generator),
        )

    def _note_success(self) -> None:
        if self._failures:
            emit_event(
                WATCH_REGAINED,
                kind=self.kind,
                failures=self._failures,
            )
            self._failures = 0
        self._on_answer()
