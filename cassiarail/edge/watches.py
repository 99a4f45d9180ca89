"""Follow the store's kinds that others write."""

import random
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import anyio

from cassiarail.conf.edge import RegistrySettings
from cassiarail.core.clock import Clock
from cassiarail.core.lifecycle import Component
from cassiarail.store.backends.base import ObjectStore
from cassiarail.store.contact import StoreContact
from cassiarail.store.guard import Checkable, StoreGuard
from cassiarail.store.watching import Follower, KindWatcher

# Entries lapse after three heartbeats of silence; the one before the outage may
# be as old as a whole interval.
_HEARTBEATS_TO_LAPSE = 2


class WatchHooks(NamedTuple):
    """Hold what the watches ask for and tell.

    ``pause_targets`` is awaited after changes of targets, with the time at
    which the call that told them was begun.
    ``observe_lease`` is told the versions of the lease that were read.
    ``check_interval_s`` is the time between checks of the store.
    ``begin_return`` is called at the first answer after an outage.
    """

    pause_targets: Callable[[float], Awaitable[None]]
    observe_lease: Callable[[int], None]
    check_interval_s: Callable[[], float]
    begin_return: Callable[[], None]


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
        contact = StoreContact(
            clock,
            _HEARTBEATS_TO_LAPSE * registry['heartbeat_s'],
            hooks.begin_return,
        )
        self._targets = KindWatcher(
            store,
            registry['targets'],
            targets,
            clock,
            generator,
            hooks.pause_targets,
            on_answer=contact.note_answer,
        )
        self._configuration = KindWatcher(
            store,
            registry['configuration'],
            configuration,
            clock,
            generator,
            on_answer=contact.note_answer,
        )
        self._guard = StoreGuard(
            checkable,
            (self._targets, self._configuration),
            clock,
            generator.random,
            hooks.observe_lease,
            hooks.check_interval_s,
            contact.note_answer,
        )

    @property
    def is_listed(self) -> bool:
        """Tell whether the targets were listed once."""
        return self._targets.has_listed

    def contact_s(self) -> float:
        """Return how long ago the store answered, or -1.

        The figure is negative while the targets can't be followed.
        """
        if not self._targets.is_following:
            return -1
        return self._guard.contact_s()

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
