"""Assemble the control loop of a controller process."""

import random
from collections.abc import Callable
from typing import NamedTuple

import httpx

from cassiarail.control.orders import HttpEngineAdmin
from cassiarail.controller.inputs import DemandSource
from cassiarail.controller.leadership import ControlParts, DeclarationsSource
from cassiarail.controller.loops import LeaseLoop, PlacementLoop
from cassiarail.controller.status import StatusRepository
from cassiarail.core.clock import Clock
from cassiarail.core.invariants import Invariants
from cassiarail.core.lifecycle import Component
from cassiarail.placement.backends.base import PlacementPolicy
from cassiarail.store.backends.base import ObjectStore
from cassiarail.store.leases import Lease
from cassiarail.store.writes import ConditionalWriter

LEASE_NAME = 'placement'
# Share of the lease duration during which a write is retried.
_RETRY_TIMEOUT_SHARE = 0.3
TransportFactory = Callable[[], httpx.AsyncBaseTransport | None]


class ControllerSettings(NamedTuple):
    """Hold the settings of a controller; durations are seconds."""

    name: str
    data_centre: str
    lease_duration_s: float = 10
    interval_s: float = 2


class PlacementControl:
    """Own the components that place models in one data centre."""

    def __init__(
        self,
        settings: ControllerSettings,
        declarations: DeclarationsSource,
        store: ObjectStore,
        transport_factory: TransportFactory,
        policy: PlacementPolicy,
        demand: DemandSource,
        clock: Clock,
        generator: random.Random,
    ) -> None:
        """Build the components; the caller closes the store."""
        self.invariants = Invariants()
        writer = ConditionalWriter(
            store,
            clock,
            generator,
            settings.lease_duration_s * _RETRY_TIMEOUT_SHARE,
        )
        self.lease = Lease(
            writer,
            f'{settings.data_centre}.{LEASE_NAME}',
            settings.name,
            clock,
            generator,
            settings.lease_duration_s,
        )
        parts = ControlParts(
            settings.data_centre,
            declarations,
            writer,
            HttpEngineAdmin(transport_factory()),
            policy,
            demand,
            StatusRepository(writer, settings.data_centre, clock),
            self.invariants,
            clock,
            generator,
        )
        self.lease_loop = LeaseLoop(
            self.lease,
            settings.lease_duration_s,
            clock,
            generator,
        )
        self.placement_loop = PlacementLoop(
            parts,
            self.lease,
            settings.interval_s,
        )

    @property
    def components(self) -> tuple[Component, ...]:
        """Return the components in the order in which they start."""
        return (self.lease_loop, self.placement_loop)
