"""Watch the kinds of objects that others write to the store."""

import random
from collections.abc import Callable
from typing import NamedTuple

import anyio

from cassiarail.conf.edge import RegistrySettings
from cassiarail.core.clock import Clock
from cassiarail.core.lifecycle import Component
from cassiarail.store.monitor import StoreMonitor
from cassiarail.store.observed import ObservedStore
from cassiarail.store.outages import OutageDetector
from cassiarail.store.pacing import WatchPacer
from cassiarail.store.watching import Follower, KindWatcher

# Entries expire after three missed heartbeats; the last one before an outage
# may be a whole interval old.
_HEARTBEATS_TO_EXPIRE = 2


class WatchHooks(NamedTuple):
    """Hold the callbacks of the watches.

    ``targets`` and ``configuration`` pace the watches.
    ``observe_lease`` receives each version of the lease that was read.
    ``check_interval_s`` returns the time between checks of the store.
    ``begin_return`` is called at the first response after an outage, and when
    the store has begun a new era.
    """

    targets: WatchPacer
    configuration: WatchPacer
    observe_lease: Callable[[int], None]
    check_interval_s: Callable[[], float]
    begin_return: Callable[[], None]


class Watches(Component):
    """Run the watches of targets and configuration and the store monitor."""

    name = 'watches'

    def __init__(
        self,
        store: ObservedStore,
        registry: RegistrySettings,
        targets: Follower,
        configuration: Follower,
        clock: Clock,
        generator: random.Random,
        hooks: WatchHooks,
    ) -> None:
        self._clock = clock
        self._store = store
        outage_detector = OutageDetector(
            clock,
            _HEARTBEATS_TO_EXPIRE * registry['heartbeat_s'],
            hooks.begin_return,
        )
        self._targets = KindWatcher(
            store,
            registry['targets'],
            targets,
            clock,
            generator,
            hooks.targets,
            store.breaker,
            on_response=outage_detector.record_success,
        )
        self._configuration = KindWatcher(
            store,
            registry['configuration'],
            configuration,
            clock,
            generator,
            hooks.configuration,
            store.breaker,
            on_response=outage_detector.record_success,
        )
        self._on_return = hooks.begin_return
        store.era.listeners.append(self._resume_in_era)
        self._monitor = StoreMonitor(
            store,
            (self._targets, self._configuration),
            clock,
            generator.random,
            hooks.observe_lease,
            hooks.check_interval_s,
            outage_detector.record_success,
            store.breaker,
        )

    @property
    def is_listed(self) -> bool:
        """Return whether the targets have been listed at least once."""
        return self._targets.has_listed

    def age_s(self) -> float:
        """Return the age of what the watches have shown, in seconds."""
        confirmed_at = min(
            self._targets.confirmed_at, self._configuration.confirmed_at
        )
        return self._clock.monotonic() - confirmed_at

    def reconnect(self) -> None:
        """Restart all waits; their connections may be unresponsive."""
        self._store.reconnect()
        self.restart_waits()

    def restart_waits(self) -> None:
        """Restart the calls that wait for changes, with the current waits."""
        self._targets.resume_after_outage()
        self._configuration.resume_after_outage()

    def _resume_in_era(self) -> None:
        """Retain entries that the store has lost, and list what it has."""
        self._on_return()
        for watcher in (self._targets, self._configuration):
            watcher.resume_in_era(self._store.era.current)

    async def run(self) -> None:
        """Watch until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._targets.run)
            group.start_soon(self._configuration.run)
            group.start_soon(self._monitor.run)
