"""Build the components that quarantine parts of prompts."""

import random
from collections.abc import Awaitable, Callable

from cassiarail.core.clock import Clock
from cassiarail.edge.crashes.exchange import CrashExchange
from cassiarail.edge.crashes.observer import CrashObserver
from cassiarail.edge.crashes.persistence import QuarantineKeeper
from cassiarail.edge.crashes.quarantines import Quarantines
from cassiarail.edge.fleet.peers import PeerLink
from cassiarail.edge.registry.targets import TargetDirectory
from cassiarail.http1.pool import Address
from cassiarail.limits.crash_attribution import CrashAttribution
from cassiarail.store.observed import ObservedStore


class CrashParts:
    """Own the quarantines, their exchange and their stored form."""

    def __init__(
        self,
        host: str,
        link: PeerLink,
        store: ObservedStore,
        is_leader: Callable[[], bool],
        clock: Clock,
        generator: random.Random,
    ) -> None:
        self._clock = clock
        self.quarantines = Quarantines(CrashAttribution(clock), clock)
        self.exchange = CrashExchange(
            host, link, self.quarantines, clock, generator
        )
        self.keeper = QuarantineKeeper(
            store, self.quarantines, is_leader, clock, generator
        )

    def build_observer(
        self,
        directory: TargetDirectory,
        connect: Callable[[Address], Awaitable[None]],
    ) -> CrashObserver:
        """Return what confirms crashes by ``connect`` and records them."""
        return CrashObserver(self.quarantines, directory, connect, self._clock)
