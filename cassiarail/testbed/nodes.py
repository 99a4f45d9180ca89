"""Run gateways and controllers as tasks that can crash, stop and restart."""

import abc
import random
from collections.abc import Callable

import anyio
from opentelemetry import trace

from cassiarail.conf.schema import ControllerSettings, GatewaySettings
from cassiarail.controller.process import (
    ControllerConnections,
    ControllerProcess,
)
from cassiarail.controller.status import StatusDocument
from cassiarail.core.clock import Clock
from cassiarail.core.lifecycle import Application
from cassiarail.gateway.process import GatewayConnections, GatewayProcess
from cassiarail.membership.backends.base import Traffic
from cassiarail.routing.backends.base import RoutingPolicy
from cassiarail.store.backends.http import HttpObjectStore
from cassiarail.telemetry.metrics import create_registry
from cassiarail.testbed.wiring import CountingTransport, Wiring

PolicyFactory = Callable[[random.Random], RoutingPolicy]


class Node(abc.ABC):
    """Run one process of the system; it can be restarted after it ended."""

    def __init__(self, name: str, wiring: Wiring, clock: Clock) -> None:
        self.name = name
        self.wiring = wiring
        self.clock = clock
        self.incarnations = 0
        self.started_at = float(0)
        self.counting_transports: list[CountingTransport] = []
        self._application: Application | None = None
        self._scope: anyio.CancelScope | None = None

    @property
    @abc.abstractmethod
    def generation(self) -> int:
        """Return the generation of the current configuration."""

    @property
    def is_running(self) -> bool:
        """Return whether the process is started and isn't stopping."""
        application = self._application
        return application is not None and application.started.is_set()

    def is_ready(self) -> bool:
        """Return whether the process reports itself as ready."""
        return self._application is not None and self._application.is_ready()

    def crash(self) -> None:
        """End the process abruptly, without a clean-up visible to others."""
        self._application = None
        self.reset_connections()
        if self._scope is not None:
            self._scope.cancel()

    def stop(self) -> None:
        """Start a graceful stop."""
        if self._application is not None:
            self._application.request_stop()

    async def run(self) -> None:
        """Run the process once, until it stops or crashes."""
        self.incarnations += 1
        self.started_at = self.clock.monotonic()
        with anyio.CancelScope() as scope:
            self._scope = scope
            await self._run_application()
        self._application = None

    @abc.abstractmethod
    def reset_connections(self) -> None:
        """Reset all connections to the process."""

    @abc.abstractmethod
    async def _run_application(self) -> None:
        """Build and run the application."""

    def _create_counting_transport(self, source: str) -> CountingTransport:
        counting = CountingTransport(self.wiring.create_transport(source))
        self.counting_transports.append(counting)
        return counting


class ControllerNode(Node):
    """Run a controller."""

    def __init__(
        self,
        settings: ControllerSettings,
        wiring: Wiring,
        clock: Clock,
        seed: str,
    ) -> None:
        super().__init__(settings['name'], wiring, clock)
        self.settings = settings
        self.process: ControllerProcess | None = None
        self.traffic: list[Traffic] = []
        self._seed = seed
        self._address = settings['peers_listener']['address']
        wiring.join_group(self._address, settings['data_centre'])
        wiring.join_group(self.name, settings['data_centre'])

    @property
    def generation(self) -> int:
        """Return the generation of the current configuration."""
        return self.process.configuration.generation if self.process else 0

    def read_status(self) -> StatusDocument | None:
        """Return the status of the data centre if this node holds its lease."""
        if self.process is None:
            return None
        return self.process.control.placement_loop.status

    def count_bytes(self) -> int:
        """Return the control bytes sent and received so far."""
        http_bytes = sum(
            each.counted_bytes for each in self.counting_transports
        )
        return http_bytes + sum(each.total_bytes() for each in self.traffic)

    def reset_connections(self) -> None:
        """Reset all connections to the process."""
        self.process = None

    async def _run_application(self) -> None:
        peers = self.wiring.create_peers(self._address)
        self.traffic.append(peers.traffic)
        store = HttpObjectStore(
            self.settings['object_api'],
            self._create_counting_transport(self.name),
        )
        process = ControllerProcess(
            self.settings,
            ControllerConnections(
                store,
                peers,
                lambda: self._create_counting_transport(self.name),
            ),
            self.clock,
            random.Random(f'{self._seed} {self.name} {self.incarnations}'),
            create_registry(with_process=False),
        )
        self.process = process
        application = Application('controller', process.components, self.clock)
        self._application = application
        await self.wiring.open_peers(self._address, process.node, process.feed)
        try:
            await application.run()
        finally:
            with anyio.CancelScope(shield=True):
                await self.wiring.close_peers(self._address)
                await process.aclose()


class GatewayNode(Node):
    """Run a gateway."""

    def __init__(
        self,
        settings: GatewaySettings,
        wiring: Wiring,
        clock: Clock,
        seed: str,
        create_policy: PolicyFactory,
    ) -> None:
        super().__init__(settings['name'], wiring, clock)
        self.settings = settings
        self.address = settings['callers']['address']
        self.process: GatewayProcess | None = None
        self._seed = seed
        self._create_policy = create_policy
        wiring.join_group(self.address, settings['data_centre'])
        wiring.join_group(self.name, settings['data_centre'])

    @property
    def generation(self) -> int:
        """Return the generation of the current configuration."""
        if self.process is None or self.process.feed.configuration is None:
            return 0
        return self.process.feed.configuration['generation']

    def reset_connections(self) -> None:
        """Reset all connections to the process."""
        self.wiring.listener.kill(self.address)
        self.process = None

    async def _run_application(self) -> None:
        generator = random.Random(
            f'{self._seed} {self.name} {self.incarnations}',
        )
        process = GatewayProcess(
            self.settings,
            GatewayConnections(
                HttpObjectStore(
                    self.settings['object_api'],
                    self._create_counting_transport(self.name),
                ),
                self.wiring.create_peers(self.name),
                lambda address: self.wiring.create_transport(self.name),
            ),
            self.clock,
            generator,
            create_registry(with_process=False),
            trace.NoOpTracer(),
            self._create_policy(generator),
        )
        self.process = process
        application = Application('gateway', process.components, self.clock)
        self._application = application
        self.wiring.listener.listen(self.address, process.asgi)
        await self.wiring.wait_until_open(self.address)
        try:
            await application.run()
        finally:
            if self.process is process:
                self.wiring.listener.kill(self.address)
            with anyio.CancelScope(shield=True):
                await process.aclose()
