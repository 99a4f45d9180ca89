"""Notice when the object API stops answering and when it returns."""

import abc
from collections.abc import Callable, Sequence

from cassiarail.core.clock import Clock
from cassiarail.core.events import emit_event
from cassiarail.core.exceptions import StoreError
from cassiarail.store.events import STORE_LOST, STORE_REGAINED
from cassiarail.store.watching import KindWatcher

# Others rely on the order holder to notice sooner that it is cut off.
LEADER_CHECK_INTERVAL_S = 0.4
# A host that others keep up to date needs its own path to the store only for
# the configuration, whose watch also probes its connection.
UPDATED_HOST_CHECK_INTERVAL_S = 2.0
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


class StoreMonitor:
    """Restart the watches when the object API returns."""

    def __init__(
        self,
        store: Checkable,
        watchers: Sequence[KindWatcher],
        clock: Clock,
        jitter: Callable[[], float],
        observe: Callable[[int], None],
        interval_s: Callable[[], float],
        on_response: Callable[[], None],
    ) -> None:
        """Hand versions of the lease to ``observe``.

        ``jitter`` returns a number from 0 to 1, ``interval_s`` the time
        between checks. ``on_response`` is called at each answer.
        """
        self._on_answer = on_response
        self._interval_s = interval_s
        self._contact_at = float('-inf')
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
            await self._clock.sleep(self._interval_s() * spread / 2)
            await self.check_once()

    def contact_s(self) -> float:
        """Return how long ago a check that succeeded was begun."""
        return self._clock.monotonic() - self._contact_at

    async def check_once(self) -> None:
        """Make one check and act on a change."""
        begun_at = self._clock.monotonic()
        try:
            version = await self._store.check()
        except StoreError as error:
            if self.is_reachable:
                emit_event(STORE_LOST, error=error.message)
            self.is_reachable = False
            return
        self._contact_at = begun_at
        self._on_answer()
        if version is not None:
            self._observe(version)
        if not self.is_reachable:
            self.is_reachable = True
            emit_event(STORE_REGAINED)
            self._store.reconnect()
            for watcher in self._watchers:
                watcher.resume_after_outage()
