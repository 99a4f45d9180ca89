"""Decide how often this host polls the store."""

from collections.abc import Callable

from cassiarail.core.clock import Clock
from cassiarail.core.events import emit_event
from cassiarail.edge.events import STATE_UPDATES_CURRENT, STATE_UPDATES_STALE
from cassiarail.edge.state_updates import StateUpdateReceiver
from cassiarail.store.monitor import (
    CHECK_INTERVAL_S,
    LEADER_CHECK_INTERVAL_S,
    UPDATED_HOST_CHECK_INTERVAL_S,
)

# Each change of an engine costs one billed call for every watching host. The
# leader needs changes at once and sends them to the others, whose own watch
# only has to show a leaving target well within the limit of 2 s.
_LEADER_PAUSE_S = 0.05
_MIN_PAUSE_S = 0.9
# The store retains changes for 20 s; a watch that starts later has to list
# all entries again.
_MAX_PAUSE_S = 12.0
_UPDATE_CHECK_S = 0.2


class StorePollPacer:
    """Poll the store less often while the leader's state updates arrive."""

    def __init__(
        self,
        receiver: StateUpdateReceiver,
        is_leader: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._receiver = receiver
        self._is_leader = is_leader
        self._clock = clock
        self._was_current = False

    async def pause_targets(self, started_at: float) -> None:
        """Wait before the next watch; the last one began at ``started_at``."""
        self._receiver.record_store_call(started_at)
        if self._is_leader():
            await self._clock.sleep(_LEADER_PAUSE_S)
            return
        until = self._clock.monotonic() + _MAX_PAUSE_S
        await self._clock.sleep(_MIN_PAUSE_S)
        self._log_update_state()
        while (
            self._receiver.is_current()
            and not self._is_leader()
            and self._clock.monotonic() < until
        ):
            await self._clock.sleep(_UPDATE_CHECK_S)
        self._log_update_state()

    def check_interval_s(self) -> float:
        """Return the seconds between checks of the connection to the store."""
        if self._is_leader():
            return LEADER_CHECK_INTERVAL_S
        if self._receiver.is_current():
            return UPDATED_HOST_CHECK_INTERVAL_S
        return CHECK_INTERVAL_S

    def _log_update_state(self) -> None:
        """Log when state updates start or stop replacing the host's watch."""
        is_current = self._receiver.is_current()
        if is_current == self._was_current:
            return
        self._was_current = is_current
        emit_event(
            STATE_UPDATES_CURRENT if is_current else STATE_UPDATES_STALE,
            fence=self._receiver.fence,
            heard=self._receiver.last_received,
            missing=self._receiver.is_behind,
        )
