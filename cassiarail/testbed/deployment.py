"""Run the processes and the outside systems of a deployment together."""

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
    CreatePolicy,
    GatewayNode,
    Node,
)
from cassiarail.testbed.wiring import Wiring

_POLL_S = 0.1
# The balancer of the platform takes a gateway out when this has passed.
_BALANCER_S = 0.5
_OPERATOR = 'operator'
_TOKEN_BITS = 64
_STOP_PATIENCE_S = 10


class StartError(RuntimeError):
    """Report a deployment whose models did not all become reachable."""


class Deployment:
    """Own all parts; nodes that end are started again after a pause."""

    def __init__(
        self,
        declarations: DeclarationsDocument,
        layout: Layout,
        wiring: Wiring,
        clock: Clock,
        create_policy: CreatePolicy,
    ) -> None:
        self.declarations = declarations
        self.layout = layout
        self.clock = clock
        self.generation = 0
        seed = str(layout.standins['seed'])
        self._wiring = wiring
        self._generator = random.Random(f'deployment {seed}')
        self._group: TaskGroup | None = None
        self._ended = False
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
        self.balanced = [gateway.address for gateway in self.gateways]
        self._operator = HttpObjectStore(
            layout.store_url,
            wiring.create_transport(_OPERATOR),
        )

    @property
    def nodes(self) -> Sequence[Node]:
        """Return all processes of the system."""
        return (*self.controllers, *self.gateways)

    async def start(self, group: TaskGroup, patience_s: float) -> None:
        """Start all parts and wait until every model is reachable."""
        self._group = group
        await self.standins.start()
        group.start_soon(self.standins.run)
        await self._wiring.wait_until_open(
            self.layout.standins['objects_address'],
        )
        await self.apply(self.declarations)
        for node in self.nodes:
            group.start_soon(self._keep_running, node)
        group.start_soon(self._balance)
        with anyio.move_on_after(patience_s):
            while self.list_missing_models() or not self._all_ready():
                await self.clock.sleep(_POLL_S)
            return
        raise StartError(f'not reachable: {self.list_missing_models()}')

    async def apply(self, declarations: DeclarationsDocument) -> int:
        """Accept declarations as an operator; return the generation."""
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
        """Return the models, and adapters, that no gateway can reach yet."""
        wanted: set[str] = set()
        for model in self.declarations['models']:
            wanted.add(model['name'])
            wanted.update(
                f'{model["name"]}/{each["name"]}' for each in model['adapters']
            )
        for gateway in self.gateways:
            process = gateway.process
            snapshot = process.feed.snapshot if process else None
            if snapshot is None:
                return sorted(wanted)
            known: set[str] = set()
            for target in snapshot.targets:
                known.update(target.models, target.adapters)
            missing = wanted - known
            if missing:
                return sorted(missing)
        return []

    def stop_gateway(self, gateway: GatewayNode) -> None:
        """Begin a planned stop; the balancer sends no more callers there."""
        self.standins.records.record_departure(
            gateway.address,
            str(gateway.incarnations),
        )
        gateway.stop()

    def count_moves(self) -> int:
        """Return the loads and unloads that took effect."""
        return sum(self.standins.records.count_moves().values())

    async def shut_down(self) -> None:
        """Stop all processes gracefully and wait for their end."""
        self._ended = True
        for node in self.nodes:
            node.stop()
        with anyio.move_on_after(_STOP_PATIENCE_S):
            while any(node.is_running for node in self.nodes):
                await self.clock.sleep(_POLL_S)
        await self._operator.aclose()

    async def _keep_running(self, node: Node) -> None:
        while not self._ended:
            await node.run()
            await self.clock.sleep(self._generator.uniform(1, 3))

    async def _balance(self) -> None:
        """Offer callers the gateways that report themselves as ready."""
        while True:
            ready = [each for each in self.gateways if each.is_ready()]
            self.balanced.clear()
            self.balanced.extend(
                gateway.address for gateway in ready or self.gateways
            )
            await self.clock.sleep(_BALANCER_S)

    def _all_ready(self) -> bool:
        return all(node.is_ready() for node in self.nodes)
