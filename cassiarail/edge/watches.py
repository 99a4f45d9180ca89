"""Follow the store's kinds that others write."""

import random
from collections.abc import Callable
from typing import NamedTuple

import anyio

from cassiarail.conf.edge import RegistrySettings
from cassiarail.core.clock import Clock
from cassiarail.core.lifecycle import Component
from cassiarail.store.backends.base import ObjectStore
from cassiarail.store.guard import Checkable, StoreGuard
from cassiarail.store.watching import Follower, KindWatcher


class WatchHooks(NamedTuple):
    """Hold what the watches ask for and tell.

    ``target_pause_s`` is how long changes of targets are gathered.
    ``observe_lease`` is told the versions of the lease that were read.
    """

    target_pause_s: Callable[[], float]
    observe_lease: Callable[[int], None]


class Watches(Component):
    """Run the watches of targets and configuration, and their guard."""

    name = 'watches'

    def __init__(
        self,
        store: ObjectStore,
        checkable: Checkable,
        registry: RegistrySettings,
        targets: Follower,
        configuration: Follower,
        clock: Clock,
        generator: random.Random,
        hooks: WatchHooks,
    ) -> None:
        self._checkable = checkable
        self._targets = KindWatcher(
            store,
            registry['targets'],
            targets,
            clock,
            generator,
            hooks.target_pause_s,
        )
        self._configuration = KindWatcher(
            store,
            registry['configuration'],
            configuration,
            clock,
            generator,
        )
        self._guard = StoreGuard(
            checkable,
            (self._targets, self._configuration),
            clock,
            generator.random,
            hooks.observe_lease,
        )

    @property
    def is_listed(self) -> bool:
        """Tell whether the targets were listed once."""
        return self._targets.has_listed

    def reconnect(self) -> None:
        """Begin all waits anew; connections may have gone silent."""
        self._checkable.reconnect()
        self._targets.resume_after_outage()
        self._configuration.resume_after_outage()

    async def run(self) -> None:
        """Follow until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._targets.run)
            group.start_soon(self._configuration.run)
            group.start_soon(self._guard.run)
