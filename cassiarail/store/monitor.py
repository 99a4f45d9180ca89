"""Detect when the object API stops responding and when it recovers."""

import abc
from collections.abc import Callable, Sequence

import anyio

from cassiarail.core.clock import Clock
from cassiarail.core.events import emit_event
from cassiarail.core.exceptions import StoreError
from cassiarail.store.breaker import StoreBreaker
from cassiarail.store.events import STORE_RECOVERED, STORE_UNREACHABLE
from cassiarail.store.watching import KindWatcher

# A host that receives state updates needs its own connection to the store
# only for the configuration, whose watch also probes the connection.
UPDATED_HOST_CHECK_INTERVAL_S = 2.0
# A waiting watch may not detect an outage. One cheap read a second detects
# the end of an outage well within the limit for configuration (2 s).
CHECK_INTERVAL_S = 1.0


class Checkable(abc.ABC):
    """Provide cheap reads that show whether the object API is reachable."""

    @abc.abstractmethod
    async def check(self) -> int | None:
        """Read the lease, possibly an old version of it.

        Returns the version, or ``None`` if it doesn't exist. Raises
        ``StoreError`` if the call fails.
        """

    @abc.abstractmethod
    def reconnect(self) -> None:
        """Stop using existing connections and open new ones."""


class StoreMonitor:
    """Restart the watches when the object API recovers from an outage."""

    def __init__(
        self,
        store: Checkable,
        watchers: Sequence[KindWatcher],
        clock: Clock,
        jitter: Callable[[], float],
        observe: Callable[[int], None],
        check_interval_s: Callable[[], float],
        on_response: Callable[[], None],
        breaker: StoreBreaker | None = None,
    ) -> None:
        """Pass each version of the lease to ``observe``.

        ``jitter`` returns a number from 0 to 1, ``check_interval_s`` the time
        between checks. ``on_response`` is called after each successful check.
        The object API is also checked when the ``breaker`` suspends calls.
        """
        self._breaker = breaker or StoreBreaker()
        self._on_response = on_response
        self._check_interval_s = check_interval_s
        self._observe = observe
        self.is_reachable = True
        self._store = store
        self._watchers = watchers
        self._clock = clock
        self._jitter = jitter

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            await self._wait_for_next_check()
            await self.check_once()

    async def check_once(self) -> None:
        """Check once and handle a change of reachability."""
        try:
            version = await self._store.check()
        except StoreError as error:
            if self.is_reachable:
                emit_event(STORE_UNREACHABLE, error=error.message)
            self.is_reachable = False
            return
        self._on_response()
        if version is not None:
            self._observe(version)
        if not self.is_reachable:
            self.is_reachable = True
            emit_event(STORE_RECOVERED)
            self._store.reconnect()
            for watcher in self._watchers:
                watcher.resume_after_outage()

    async def _wait_for_next_check(self) -> None:
        interval_s = self._check_interval_s() * (1 + self._jitter()) / 2
        if self._breaker.is_open:
            # The last check has failed.
            await self._clock.sleep(interval_s)
            return
        with anyio.move_on_after(interval_s):
            await self._breaker.wait_until_opened()
