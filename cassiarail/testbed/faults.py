"""Inject faults by a schedule drawn from a seed."""

import copy
import random
from typing import NamedTuple

from cassiarail.control.orders import EngineAdmin, OrderDocument
from cassiarail.core.clock import Clock
from cassiarail.core.exceptions import CassiarailError
from cassiarail.standins.fault_injection import (
    DEFAULT_RANGES,
    FaultInjector,
    draw_schedule,
)
from cassiarail.standins.faults import FaultName
from cassiarail.testbed.deployment import Deployment

GATEWAY_CRASH = 'gateway_crash'
GATEWAY_STOP = 'gateway_stop'
CONTROLLER_CRASH = 'controller_crash'
CONTROLLER_STOP = 'controller_stop'
CONFIGURATION_CHANGE = 'configuration_change'
NODE_FAULTS = (
    GATEWAY_CRASH,
    GATEWAY_STOP,
    CONTROLLER_CRASH,
    CONTROLLER_STOP,
    CONFIGURATION_CHANGE,
)
_TIMEOUT_RANGE_S = (20, 40)
# In a shared event loop one process can't be paused without the others; the
# interleavings of a paused lease holder are tested in tests/control.
_UNSUPPORTED = frozenset((FaultName.PAUSED_PROCESS,))
_TCP_UNSUPPORTED = frozenset((*_UNSUPPORTED, FaultName.PARTITION))


class NodeFault(NamedTuple):
    """Describe a fault of a process and when it is injected."""

    at_s: float
    name: str


class ScheduledFaults:
    """Inject faults into external systems and processes on schedule."""

    def __init__(
        self,
        deployment: Deployment,
        clock: Clock,
        generator: random.Random,
    ) -> None:
        self._deployment = deployment
        self._clock = clock
        self._generator = generator
        self._injector = FaultInjector(deployment.standins, clock)
        self.applied: list[str] = []

    async def inject_platform_faults(
        self,
        duration_s: float,
        count: int,
        *,
        with_partitions: bool,
    ) -> None:
        """Inject faults of targets and the platform."""
        excluded = _UNSUPPORTED if with_partitions else _TCP_UNSUPPORTED
        ranges = [each for each in DEFAULT_RANGES if each.name not in excluded]
        self._generator.shuffle(ranges)
        fleet = self._deployment.declarations['fleet']
        schedule = draw_schedule(
            self._generator,
            duration_s,
            count,
            sorted(self._deployment.standins.targets),
            fleet['data_centres'],
            ranges,
        )
        self.applied.extend(each.document['name'] for each in schedule)
        await self._injector.run_schedule(schedule)

    async def inject_node_faults(self, duration_s: float, count: int) -> None:
        """Inject faults of controllers and gateways."""
        names = list(NODE_FAULTS)
        self._generator.shuffle(names)
        schedule = sorted(
            NodeFault(
                self._generator.uniform(0, duration_s),
                names[position % len(names)],
            )
            for position in range(count)
        )
        started_at = self._clock.monotonic()
        for fault in schedule:
            elapsed_s = self._clock.monotonic() - started_at
            await self._clock.sleep(max(0, fault.at_s - elapsed_s))
            self.applied.append(fault.name)
            await self._inject(fault.name)

    async def load_without_reserving(self, admin: EngineAdmin) -> None:
        """Load every model on one engine without reserving its memory.

        This is the deliberately injected defect ``ledger_skipped``.
        """
        declarations = self._deployment.declarations
        engine = next(iter(self._deployment.standins.engines.values()))
        address = engine.settings.address
        report = await admin.read_state(address)
        for model in declarations['models']:
            order = OrderDocument(
                order_id=f'skipped-{model["name"]}',
                fence=report['fence'],
                instance=report['instance'],
                kind='load_model',
                model=model['name'],
                version=model['version'],
                bytes=model['bytes'],
            )
            await admin.send_order(address, order)

    async def _inject(self, name: str) -> None:
        deployment = self._deployment
        if name == GATEWAY_CRASH:
            self._generator.choice(deployment.gateways).crash()
        elif name == GATEWAY_STOP:
            gateway = self._generator.choice(deployment.gateways)
            if gateway.is_ready():
                deployment.stop_gateway(gateway)
        elif name == CONTROLLER_CRASH:
            self._generator.choice(deployment.controllers).crash()
        elif name == CONTROLLER_STOP:
            self._generator.choice(deployment.controllers).stop()
        else:
            await self._change_configuration()

    async def _change_configuration(self) -> None:
        changed = copy.deepcopy(self._deployment.declarations)
        seconds = self._generator.uniform(*_TIMEOUT_RANGE_S)
        changed['fleet']['defaults']['timeout_s'] = round(seconds, 1)
        try:
            await self._deployment.apply(changed)
        except CassiarailError:
            # A change is refused, with an error, while the store is down.
            return
