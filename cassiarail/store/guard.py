"""Notice when the object API stops answering and when it returns."""

import abc
from collections.abc import Callable, Sequence

from cassiarail.core.clock import Clock
from cassiarail.core.events import emit_event
from cassiarail.core.exceptions import StoreError
from cassiarail.store.events import STORE_LOST, STORE_REGAINED
from cassiarail.store.watching import KindWatcher

# A waiting watch may never hear of an outage. One cheap read a second finds
# the end of an outage well within the bound on configuration (2 s).
CHECK_INTERVAL_S = 1.0


class Checkable(abc.ABC):
    """Answer cheap reads that show whether the object API is reachable."""

    @abc.abstractmethod
    async def check(self) -> int | None:
        """Read the lease, perhaps an old version of it.

        Returns the version, or ``None`` if it doesn't exist. Raises
        ``StoreError`` if the call fails.
        """

    @abc.abstractmethod
    def reconnect(self) -> None:
        """Use new connections from now on."""


class StoreGuard:
    """Restart the watches when the object API returns."""

    def __init__(
        self,
        store: Checkable,
        watchers: Sequence[KindWatcher],
        clock: Clock,
        jitter: Callable[[], float],
        observe: Callable[[int], None],
    ) -> None:
        """Hand versions of the lease to ``observe``.

        ``jitter`` returns a number from 0 to 1.
        """
        self._observe = observe
        self.is_reachable = True
        self._store = store
        self._watchers = watchers
        self._clock = clock
        self._jitter = jitter

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            spread = 1 + self._jitter()
            await self._clock.sleep(CHECK_INTERVAL_S * spread / 2)
            await self.check_once()

    async def check_once(self) -> None:
        """Make one check and act on a change."""
        try:
            version = await self._store.check()
        except StoreError as error:
            if self.is_reachable:
                emit_event(STORE_LOST, error=error.message)
            self.is_reachable = False
            return
        if version is not None:
            self._observe(version)
        if not self.is_reachable:
            self.is_reachable = True
            emit_event(STORE_REGAINED)
            self._store.reconnect()
            for watcher in self._watchers:
                watcher.resume_after_outage()
