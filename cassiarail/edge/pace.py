"""Decide how often this host asks the store."""

from collections.abc import Callable

from cassiarail.core.clock import Clock
from cassiarail.core.events import emit_event
from cassiarail.edge.events import LEDGERS_LOST, LEDGERS_STAND_IN
from cassiarail.edge.state_updates import StateUpdateReceiver
from cassiarail.store.guard import (
    CHECK_INTERVAL_S,
    FED_CHECK_INTERVAL_S,
    HOLDER_CHECK_INTERVAL_S,
)

# Each change of an engine is a priced call of every host that watches. The
# order holder needs changes at once and tells the others; their own watch
# has to show a target that leaves well within the bound of 2 s.
_HOLDER_PAUSE_S = 0.05
_PAUSE_S = 0.9
# The store keeps changes for 20 s; a watch that begins later lists anew.
_LONGEST_PAUSE_S = 12.0
_FEED_CHECK_S = 0.2


class StorePace:
    """Rely on the order holder's ledgers while they come."""

    def __init__(
        self,
        feed: StateUpdateReceiver,
        is_leader: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._feed = feed
        self._is_holder = is_leader
        self._clock = clock
        self._is_fed = False

    async def pause_targets(self, begun_at: float) -> None:
        """Wait before the next watch; the last one was begun at a time."""
        self._feed.record_store_call(begun_at)
        if self._is_holder():
            await self._clock.sleep(_HOLDER_PAUSE_S)
            return
        until = self._clock.monotonic() + _LONGEST_PAUSE_S
        await self._clock.sleep(_PAUSE_S)
        self._tell_feed()
        while (
            self._feed.is_current()
            and not self._is_holder()
            and self._clock.monotonic() < until
        ):
            await self._clock.sleep(_FEED_CHECK_S)
        self._tell_feed()

    def check_interval_s(self) -> float:
        """Return the time between checks of the path to the store."""
        if self._is_holder():
            return HOLDER_CHECK_INTERVAL_S
        if self._feed.is_current():
            return FED_CHECK_INTERVAL_S
        return CHECK_INTERVAL_S

    def _tell_feed(self) -> None:
        """Log when ledgers begin or cease to stand in for the own watch."""
        is_fed = self._feed.is_current()
        if is_fed == self._is_fed:
            return
        self._is_fed = is_fed
        emit_event(
            LEDGERS_STAND_IN if is_fed else LEDGERS_LOST,
            fence=self._feed.fence,
            heard=self._feed.last_received,
            missing=self._feed.is_behind,
        )
