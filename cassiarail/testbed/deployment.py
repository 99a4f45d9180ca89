"""Run the processes and the external systems of a deployment together."""

import random
from collections.abc import Sequence

import anyio
from anyio.abc import TaskGroup

from cassiarail.control.configuration import apply_configuration
from cassiarail.core.clock import Clock
from cassiarail.declarations.schema import DeclarationsDocument
from cassiarail.standins.application import Standins
from cassiarail.store.backends.http import HttpObjectStore
from cassiarail.testbed.layout import Layout
from cassiarail.testbed.nodes import (
    ControllerNode,
    GatewayNode,
    Node,
    PolicyFactory,
)
from cassiarail.testbed.wiring import Wiring

_POLL_INTERVAL_S = 0.1
# The platform's load balancer removes a gateway within this time.
_BALANCER_INTERVAL_S = 0.5
_OPERATOR = 'operator'
_TOKEN_BITS = 64
_STOP_TIMEOUT_S = 10


class StartError(RuntimeError):
    """Report models of a deployment that did not become reachable in time."""


class Deployment:
    """Run all processes; nodes that end are restarted after a delay."""

    def __init__(
        self,
        declarations: DeclarationsDocument,
        layout: Layout,
        wiring: Wiring,
        clock: Clock,
        create_policy: PolicyFactory,
    ) -> None:
        self.declarations = declarations
        self.layout = layout
        self.clock = clock
        self.generation = 0
        seed = str(layout.standins['seed'])
        self._wiring = wiring
        self._generator = random.Random(f'deployment {seed}')
        self._task_group: TaskGroup | None = None
        self._is_stopping = False
        self.standins = Standins(
            layout.standins,
            clock,
            wiring.listener,
            wiring.create_transport('standins'),
        )
        self.controllers = [
            ControllerNode(settings, wiring, clock, seed)
            for settings in layout.controllers
        ]
        self.gateways = [
            GatewayNode(settings, wiring, clock, seed, create_policy)
            for settings in layout.gateways
        ]
        self.balancer_addresses = [gateway.address for gateway in self.gateways]
        self._operator = HttpObjectStore(
            layout.store_url,
            wiring.create_transport(_OPERATOR),
        )

    @property
    def nodes(self) -> Sequence[Node]:
        """Return all controllers and gateways."""
        return (*self.controllers, *self.gateways)

    async def start(self, group: TaskGroup, timeout_s: float) -> None:
        """Start all processes and wait until every model is reachable.

        Raises ``StartError`` if that takes longer than ``timeout_s``.
        """
        self._task_group = group
        await self.standins.start()
        group.start_soon(self.standins.run)
        await self._wiring.wait_until_open(
            self.layout.standins['objects_address'],
        )
        await self.apply(self.declarations)
        for node in self.nodes:
            group.start_soon(self._run_repeatedly, node)
        group.start_soon(self._update_balancer)
        with anyio.move_on_after(timeout_s):
            while self.list_missing_models() or not self._are_all_ready():
                await self.clock.sleep(_POLL_INTERVAL_S)
            return
        raise StartError(
            f'models not reachable in time: {self.list_missing_models()}'
        )

    async def apply(self, declarations: DeclarationsDocument) -> int:
        """Apply declarations as an operator and return the generation."""
        self.generation = await apply_configuration(
            self._operator,
            self.generation,
            declarations,
            _OPERATOR,
            f'{self._generator.getrandbits(_TOKEN_BITS):016x}',
            self.clock,
            self._generator,
        )
        return self.generation

    def list_missing_models(self) -> list[str]:
        """Return models and adapters that some gateway can't reach yet."""
        declared: set[str] = set()
        for model in self.declarations['models']:
            declared.add(model['name'])
            declared.update(
                f'{model["name"]}/{each["name"]}' for each in model['adapters']
            )
        for gateway in self.gateways:
            process = gateway.process
            snapshot = process.feed.snapshot if process else None
            if snapshot is None:
                return sorted(declared)
            reachable: set[str] = set()
            for target in snapshot.targets:
                reachable.update(target.models, target.adapters)
            missing = declared - reachable
            if missing:
                return sorted(missing)
        return []

    def stop_gateway(self, gateway: GatewayNode) -> None:
        """Start a planned stop; the load balancer removes the gateway."""
        self.standins.records.record_departure(
            gateway.address,
            str(gateway.incarnations),
        )
        gateway.stop()

    def count_moves(self) -> int:
        """Return the number of loads and unloads that were executed."""
        return sum(self.standins.records.count_moves().values())

    async def shut_down(self) -> None:
        """Stop all processes gracefully and wait until they have ended."""
        self._is_stopping = True
        for node in self.nodes:
            node.stop()
        with anyio.move_on_after(_STOP_TIMEOUT_S):
            while any(node.is_running for node in self.nodes):
                await self.clock.sleep(_POLL_INTERVAL_S)
        await self._operator.aclose()

    async def _run_repeatedly(self, node: Node) -> None:
        while not self._is_stopping:
            await node.run()
            await self.clock.sleep(self._generator.uniform(1, 3))

    async def _update_balancer(self) -> None:
        """Update the gateways of the load balancer by their readiness."""
        while True:
            ready = [each for each in self.gateways if each.is_ready()]
            self.balancer_addresses.clear()
            self.balancer_addresses.extend(
                gateway.address for gateway in ready or self.gateways
            )
            await self.clock.sleep(_BALANCER_INTERVAL_S)

    def _are_all_ready(self) -> bool:
        return all(node.is_ready() for node in self.nodes)
