"""Simulate the controllers of a data centre in one process.

The benchmark and tests run it in virtual time. The load of each target follows
a random walk with steps of 1 s, like engines under bursty demand.
"""

import random

import anyio
from anyio.abc import TaskGroup

from cassiarail.control.configuration import ConfigurationManager
from cassiarail.core.clock import Clock
from cassiarail.core.exceptions import ConnectFailedError, StoreUnavailableError
from cassiarail.membership.backends.base import Traffic
from cassiarail.membership.backends.codec import SignedCodec
from cassiarail.membership.backends.memory import (
    MemoryPeerNetwork,
    MemoryPeerTransport,
)
from cassiarail.membership.exchange import MembershipNode
from cassiarail.membership.polling import LoadPoller
from cassiarail.membership.ports import LoadObservation, LoadSource
from cassiarail.store.backends.base import (
    JsonValue,
    Listing,
    ObjectStore,
    StoredObject,
    WatchBatch,
)

# One poll on an open connection: the request with a host header, and a response
# with status, three headers and the JSON of section 4.2 of the design.
POLL_REQUEST_BYTES = 60
POLL_RESPONSE_BYTES = 310
_BATCH_MAX = 64
_KV_TOTAL_BYTES = 40_000_000_000
_MAX_KV_STEP_BYTES = 1_000_000_000
_MAX_WORK_STEP = 6
_INSTANCE_BITS = 32
_LATENCY_S = 0.001
_INITIAL_SEQUENCE = 3_000_000


class SimulatedTarget:
    """Simulate the load of one target as a random walk."""

    def __init__(self, name: str, generator: random.Random) -> None:
        self.name = name
        self.instance = f'{name}-{generator.getrandbits(_INSTANCE_BITS):08x}'
        self.leaving = False
        self.is_up = True
        self._generator = generator
        # As large as after some weeks, for a realistic encoded size.
        self._sequence = _INITIAL_SEQUENCE
        self._running = generator.randint(0, _BATCH_MAX)
        self._queued = 0
        self._kv_used_bytes = generator.randint(0, _KV_TOTAL_BYTES)

    def step(self) -> None:
        """Advance the load by one second."""
        work = self._running + self._queued
        work = max(
            0, work + self._generator.randint(-_MAX_WORK_STEP, _MAX_WORK_STEP)
        )
        self._running = min(work, _BATCH_MAX)
        self._queued = min(work - self._running, _BATCH_MAX)
        kv_step = self._generator.randint(
            -_MAX_KV_STEP_BYTES, _MAX_KV_STEP_BYTES
        )
        self._kv_used_bytes = min(
            max(0, self._kv_used_bytes + kv_step), _KV_TOTAL_BYTES
        )
        self._sequence += 1

    def restart(self) -> None:
        """Restart as a new instance."""
        self.instance = (
            f'{self.name}-{self._generator.getrandbits(_INSTANCE_BITS):08x}'
        )
        self.leaving = False
        self._sequence = 0

    def observe(self) -> LoadObservation:
        """Return the response to a poll."""
        return LoadObservation(
            instance=self.instance,
            sequence=self._sequence,
            leaving=self.leaving,
            running=self._running,
            queued=self._queued,
            batch_max=_BATCH_MAX,
            kv_used_bytes=self._kv_used_bytes,
            kv_total_bytes=_KV_TOTAL_BYTES,
        )


class SimulatedLoadSource(LoadSource):
    """Poll the simulated targets and count the bytes."""

    def __init__(
        self,
        targets: dict[str, SimulatedTarget],
        traffic: Traffic,
    ) -> None:
        self._targets = targets
        self._traffic = traffic

    def list_targets(self) -> list[str]:
        """Return the names of all targets."""
        return list(self._targets)

    async def poll(self, target: str) -> LoadObservation:
        """Return the report of a target."""
        self._traffic.calls['Poll'] += 1
        self._traffic.sent['Poll'] += POLL_REQUEST_BYTES
        await anyio.sleep(_LATENCY_S)
        simulated = self._targets[target]
        if not simulated.is_up:
            raise ConnectFailedError('target is down')
        self._traffic.received['Poll'] += POLL_RESPONSE_BYTES
        return simulated.observe()


class PartitionableStore(ObjectStore):
    """Wrap a store so that one node's access can be cut off."""

    def __init__(self, store: ObjectStore) -> None:
        self._store = store
        self.cut_off = False

    async def read(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or ``None`` if it doesn't exist."""
        self._require_access()
        return await self._store.read(kind, name)

    async def list_objects(self, kind: str, prefix: str = '') -> Listing:
        """Return the objects of a kind whose names have a prefix."""
        self._require_access()
        return await self._store.list_objects(kind, prefix)

    async def create(self, kind: str, name: str, document: JsonValue) -> int:
        """Create an object and return its version."""
        self._require_access()
        return await self._store.create(kind, name, document)

    async def replace(
        self,
        kind: str,
        name: str,
        document: JsonValue,
        version: int,
    ) -> int:
        """Replace an object at a known version; return the new version."""
        self._require_access()
        return await self._store.replace(kind, name, document, version)

    async def delete(self, kind: str, name: str, version: int) -> None:
        """Delete an object at a known version."""
        self._require_access()
        await self._store.delete(kind, name, version)

    async def watch(
        self,
        kind: str,
        after: int,
        timeout_s: float,
        prefix: str = '',
    ) -> WatchBatch:
        """Wait for changes after a revision."""
        self._require_access()
        batch = await self._store.watch(kind, after, timeout_s, prefix)
        self._require_access()
        return batch

    def _require_access(self) -> None:
        if self.cut_off:
            raise StoreUnavailableError(
                'store is cut off by a network partition'
            )


class SimulatedController:
    """Run the components of one controller process."""

    def __init__(self, fleet: 'SimulatedFleet', address: str) -> None:
        self.address = address
        self.transport = MemoryPeerTransport(fleet.network, address)
        self.store = PartitionableStore(fleet.store)
        generator = random.Random(f'{fleet.seed}/{address}/{fleet.start_count}')
        self.configuration = ConfigurationManager(
            self.store,
            self._is_watcher,
            fleet.clock,
            generator,
        )
        self.node = MembershipNode(
            address,
            fleet.list_seeds,
            self.transport,
            self.configuration,
            fleet.clock,
            generator,
        )
        self.configuration.set_announcer(self.node.announce_configuration)
        self.poller = LoadPoller(
            self.node,
            SimulatedLoadSource(fleet.targets, self.transport.traffic),
            fleet.clock,
            generator,
        )
        self._scope = anyio.CancelScope()

    async def run(self) -> None:
        """Run all components until stopped."""
        with self._scope:
            async with anyio.create_task_group() as group:
                group.start_soon(self.node.run)
                group.start_soon(self.configuration.run)
                group.start_soon(self.poller.run)

    def stop(self) -> None:
        """Stop all components immediately."""
        self._scope.cancel()

    def _is_watcher(self) -> bool:
        return self.node.peers.is_watcher()


class SimulatedFleet:
    """Start, kill and restart the controllers of one data centre."""

    def __init__(
        self,
        group: TaskGroup,
        clock: Clock,
        store: ObjectStore,
        seed: int,
        targets: int = 0,
    ) -> None:
        """Initialize the fleet; its tasks run in ``group``."""
        self.clock = clock
        self.store = store
        self.seed = seed
        self.start_count = 0
        self.network = MemoryPeerNetwork(SignedCodec(b'simulation', clock))
        self.network.latency_s = _LATENCY_S
        self.controllers: dict[str, SimulatedController] = {}
        self.seeds: list[str] = []
        self._group = group
        generator = random.Random(seed)
        self.targets = {
            f'salzmodell-{number}': SimulatedTarget(
                f'salzmodell-{number}',
                generator,
            )
            for number in range(targets)
        }
        group.start_soon(self._step_targets)

    def list_seeds(self) -> list[str]:
        """Return the addresses of the host list."""
        return self.seeds

    def start(self, address: str) -> SimulatedController:
        """Start a controller at an address, also after a kill."""
        self.start_count += 1
        if address not in self.seeds:
            self.seeds.append(address)
        controller = SimulatedController(self, address)
        self.controllers[address] = controller
        self.network.listen(
            address,
            controller.node,
            traffic=controller.transport.traffic,
        )
        self._group.start_soon(controller.run)
        return controller

    def kill(self, address: str) -> None:
        """Stop a controller without an announcement."""
        self.network.kill(address)
        self.controllers.pop(address).stop()

    async def _step_targets(self) -> None:
        while True:
            for target in self.targets.values():
                target.step()
            await self.clock.sleep(1)


def name_controllers(count: int) -> list[str]:
    """Return the addresses of a number of simulated controllers."""
    return [f'10.0.0.{number}:7001' for number in range(1, count + 1)]
