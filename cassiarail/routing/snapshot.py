"""Define the routing snapshot that a controller sends to gateways."""

import enum
from collections.abc import Sequence
from typing import NamedTuple


class TargetKind(enum.Enum):
    """Distinguish model engines from plain services."""

    ENGINE = 'engine'
    PLAIN = 'plain'


class LoadReport(NamedTuple):
    """Hold the load that a target last reported; the values lag.

    ``received_at`` is the monotonic time of the local clock in seconds.
    """

    sequence: int
    running: int
    queued: int
    batch_max: int
    kv_used_bytes: int
    kv_total_bytes: int
    received_at: float


class TargetState(NamedTuple):
    """Hold the known state of one target.

    ``models`` and ``adapters`` (as ``model/adapter``) are those that are
    ready and not being released.
    """

    name: str
    service: str
    kind: TargetKind
    data_centre: str
    address: str
    instance: str = ''
    leaving: bool = False
    models: frozenset[str] = frozenset()
    adapters: frozenset[str] = frozenset()
    load: LoadReport | None = None


class RoutingSnapshot(NamedTuple):
    """Hold all targets and quarantined fingerprints at one point in time.

    ``generation`` is the generation of the current configuration.
    """

    generation: int
    targets: tuple[TargetState, ...] = ()
    quarantined: frozenset[str] = frozenset()
    suspects: frozenset[str] = frozenset()

    def find_targets(self, service: str) -> Sequence[TargetState]:
        """Return the targets of a service."""
        return [state for state in self.targets if state.service == service]
