"""Decide how often this host polls the store."""

from collections.abc import Callable
from typing import NamedTuple

from cassiarail.core.clock import Clock
from cassiarail.core.events import emit_event
from cassiarail.edge.events import STATE_UPDATES_CURRENT, STATE_UPDATES_STALE
from cassiarail.edge.fleet.state_updates import StateUpdateReceiver
from cassiarail.store.monitor import (
    CHECK_INTERVAL_S,
    UPDATED_HOST_CHECK_INTERVAL_S,
)
from cassiarail.store.pacing import WatchPacer

_UPDATE_CHECK_S = 0.2
_MIN_CHECK_S = 0.01
# The election used to read the lease about this often on each host.
_MIN_INTERVAL_S = 0.2
# Each refused check has the full price of a call. Large fleets have bounds
# that apply again 4 s after an outage.
_MAX_INTERVAL_S = 3.0
_OUTAGE_CHECKS_PER_S = 20


class PollRules(NamedTuple):
    """Define the waits and pauses of one watch, in seconds.

    The leader's calls wait for at most ``leader_wait_s``: each response proves
    that nothing has changed before, even if an earlier one was lost. Those of
    other hosts wait for ``host_wait_s``. After changes, the next call begins
    after ``leader_pause_s`` or ``host_pause_s``, so that it returns several.
    """

    leader_wait_s: float
    leader_pause_s: float
    host_wait_s: float
    host_pause_s: float


# Each change of an engine costs one billed call for every watching host. The
# leader needs changes at once and sends them to the others, whose own watch
# only has to show a leaving target well within the limit of 2 s. Responses of
# an unstable store may be lost; it counts as stable 3 s later, so that a call
# of 3 s that is repeated after another second is still in time.
_HOST_WAIT_S = 3.0
_TARGET_WAIT_S = 0.3
_TARGET_PAUSE_S = 0.05
_TARGET_HOST_PAUSE_S = 0.9
_CONFIGURATION_WAIT_S = 0.4
TARGET_POLLING = PollRules(
    _TARGET_WAIT_S, _TARGET_PAUSE_S, _HOST_WAIT_S, _TARGET_HOST_PAUSE_S
)
CONFIGURATION_POLLING = PollRules(_CONFIGURATION_WAIT_S, 0, _HOST_WAIT_S, 0)


class UpdatePacer(WatchPacer):
    """Poll the store only while the leader's state updates don't replace it."""

    def __init__(
        self,
        receiver: StateUpdateReceiver,
        is_leader: Callable[[], bool],
        clock: Clock,
        rules: PollRules,
    ) -> None:
        self._receiver = receiver
        self._is_leader = is_leader
        self._clock = clock
        self._rules = rules

    def wait_s(self) -> float:
        """Return how long the next call waits for changes."""
        if self._is_leader():
            return self._rules.leader_wait_s
        return self._rules.host_wait_s

    async def pause(self, started_at: float) -> None:
        """Wait until the next call is due."""
        if self._is_leader():
            await self._clock.sleep(self._rules.leader_pause_s)
            return
        await self._clock.sleep(self._rules.host_pause_s)
        await self.pause_after_failure()

    async def pause_after_failure(self) -> None:
        """Wait while state updates replace the watch."""
        while not self._is_leader() and self.is_replaced():
            current_s = self._receiver.current_s()
            await self._clock.sleep(
                min(_UPDATE_CHECK_S, current_s + _MIN_CHECK_S)
            )

    def is_replaced(self) -> bool:
        """Return whether state updates show all that the watch would."""
        return self._receiver.is_current()


class TargetPacer(UpdatePacer):
    """Pace the watch of the targets."""

    def __init__(
        self,
        receiver: StateUpdateReceiver,
        is_leader: Callable[[], bool],
        clock: Clock,
    ) -> None:
        super().__init__(receiver, is_leader, clock, TARGET_POLLING)
        self._was_current = False

    async def pause(self, started_at: float) -> None:
        """Record what the call covered, then wait until the next is due."""
        self._receiver.record_store_call(started_at)
        await super().pause(started_at)

    async def pause_after_failure(self) -> None:
        """Wait while state updates replace the watch, and log changes."""
        self._log_update_state()
        await super().pause_after_failure()
        self._log_update_state()

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


class ConfigurationPacer(UpdatePacer):
    """Pace the watch of the configuration."""

    def __init__(
        self,
        receiver: StateUpdateReceiver,
        is_leader: Callable[[], bool],
        clock: Clock,
        get_version: Callable[[], int],
    ) -> None:
        """Call ``get_version`` for the version that this host applies."""
        super().__init__(receiver, is_leader, clock, CONFIGURATION_POLLING)
        self._get_version = get_version

    def is_replaced(self) -> bool:
        """Return whether the leader announces no newer version."""
        announced = self._receiver.configuration_version
        return super().is_replaced() and announced <= self._get_version()


class CheckPacer:
    """Decide how often this host checks its connection to the store."""

    def __init__(
        self,
        receiver: StateUpdateReceiver,
        is_leader: Callable[[], bool],
        count_hosts: Callable[[], int],
        is_suspended: Callable[[], bool],
    ) -> None:
        """Call ``is_suspended`` for whether calls wait for a check."""
        self._receiver = receiver
        self._is_leader = is_leader
        self._count_hosts = count_hosts
        self._is_suspended = is_suspended

    def interval_s(self) -> float:
        """Return the seconds until the next check.

        In an outage, all hosts together check at a constant rate, so that one
        of them soon notices its end and becomes leader, whose state updates
        then show the others that the store is back.
        """
        is_current = self._receiver.is_current()
        if self._is_suspended() and not is_current:
            shared_s = self._count_hosts() / _OUTAGE_CHECKS_PER_S
            return min(_MAX_INTERVAL_S, max(_MIN_INTERVAL_S, shared_s))
        if is_current and not (self._is_leader() or self._is_suspended()):
            return UPDATED_HOST_CHECK_INTERVAL_S
        return CHECK_INTERVAL_S
