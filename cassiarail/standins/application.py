"""Run the stand-ins of all external systems of a deployment."""

import random
from collections.abc import Callable, Coroutine
from typing import Any

import anyio
import httpx
from anyio.abc import TaskGroup

from cassiarail.core.clock import Clock
from cassiarail.core.lifecycle import Component
from cassiarail.standins.engine import (
    Engine,
    EngineDependencies,
    EngineSettings,
)
from cassiarail.standins.engine_api import EngineApi
from cassiarail.standins.faults import ActiveFaults
from cassiarail.standins.holdings import AdapterLoader, HeldEntry, WeightClient
from cassiarail.standins.hosts import LEAVING, LIVE, HostEntry, HostList
from cassiarail.standins.listeners import Listener
from cassiarail.standins.objects import ObjectApi
from cassiarail.standins.records import ExecutionRecords
from cassiarail.standins.service import (
    PlainService,
    RecordStore,
    ServiceSettings,
)
from cassiarail.standins.settings import EngineDocument, StandinsDocument
from cassiarail.standins.weights import WeightLimits, WeightStore

_TargetTask = Callable[[str], Coroutine[Any, Any, None]]
PLATFORM_GROUP = 'platform'
_STOP_POLL_S = 0.1
# Minimum time before a leaving target stops, so that late requests are
# recorded.
_LEAVE_MIN_S = 5
# Lets the last response reach its client before the connection is closed.
_FLUSH_DELAY_S = 0.5


class Standins(Component):
    """Serve all external systems; crash, stop and restart their targets."""

    name = 'standins'

    def __init__(
        self,
        settings: StandinsDocument,
        clock: Clock,
        listener: Listener,
        transport: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        """Create the stand-ins; engines fetch weights through ``transport``."""
        self.settings = settings
        self._clock = clock
        self.listener = listener
        self._transport = transport
        self._task_group: TaskGroup | None = None
        generator = random.Random(settings['seed'])
        self.generator = generator
        self.faults = ActiveFaults(generator)
        self.records = ExecutionRecords(clock)
        self.store = ObjectApi(clock, self.faults)
        self.weights = WeightStore(
            WeightLimits(
                settings['weight_loads_per_second'],
                settings['weight_loads_at_once'],
            ),
            clock,
            self.faults,
        )
        self.hosts = HostList(clock, self.faults, settings['host_list_lag_s'])
        self.adapter_loader = AdapterLoader(
            clock, settings['adapter_loads_in_flight']
        )
        self.engines = self._build_engines()
        self.services = self._build_services()
        self._publish_hosts()
        self._preload_held()

    @property
    def targets(self) -> dict[str, Engine | PlainService]:
        """Return all targets by name."""
        return {**self.engines, **self.services}

    async def start(self) -> None:
        """Start listening on all addresses."""
        settings = self.settings
        self.listener.listen(
            settings['objects_address'], self.store.application
        )
        self.listener.listen(
            settings['weights_address'], self.weights.application
        )
        self.listener.listen(settings['hosts_address'], self.hosts.application)
        for name, target in self.targets.items():
            self._listen(name)
            self.listener.join_group(
                target.settings.address, target.settings.data_centre
            )
        for address in self._list_platform_addresses():
            self.listener.join_group(address, PLATFORM_GROUP)

    async def run(self) -> None:
        """Run the engines until cancelled."""
        async with anyio.create_task_group() as group:
            self._task_group = group
            for engine in self.engines.values():
                group.start_soon(engine.run)
            await anyio.sleep_forever()

    def _list_platform_addresses(self) -> tuple[str, ...]:
        return (
            self.settings['objects_address'],
            self.settings['weights_address'],
            self.settings['hosts_address'],
        )

    def crash_target(self, name: str) -> None:
        """Crash a target; it restarts empty after ``restart_s``."""
        self.targets[name].crash()

    def leave_target(self, name: str) -> None:
        """Start the planned stop of a target, which restarts afterwards."""
        target = self.targets[name]
        if target.is_down or target.is_leaving:
            return
        target.leave()
        self.hosts.set_state(name, LEAVING)
        self.spawn(self._stop_when_idle, name)

    def spawn(self, function: _TargetTask, name: str) -> None:
        """Run ``function(name)`` in the background."""
        if self._task_group is not None:
            self._task_group.start_soon(function, name)

    async def _stop_when_idle(self, name: str) -> None:
        target = self.targets[name]
        started_at = self._clock.monotonic()
        deadline = started_at + self.settings['leave_s']
        await self._clock.sleep(min(self.settings['leave_s'], _LEAVE_MIN_S))
        while target.in_progress and self._clock.monotonic() < deadline:
            await self._clock.sleep(_STOP_POLL_S)
        await self._clock.sleep(_FLUSH_DELAY_S)
        if target.is_leaving and not target.is_down:
            target.stop()
            self.listener.kill(target.settings.address)
            await self._restart_later(name)

    def _terminate_process(self, name: str) -> None:
        self.listener.kill(self.targets[name].settings.address)
        self.spawn(self._restart_later, name)

    async def _restart_later(self, name: str) -> None:
        await self._clock.sleep(self.settings['restart_s'])
        self.targets[name].restart()
        self.hosts.set_state(name, LIVE)
        self._listen(name)

    def _listen(self, name: str) -> None:
        engine = self.engines.get(name)
        if engine is None:
            application = self.services[name].application
        else:
            application = EngineApi(engine).application
        address = self.targets[name].settings.address
        self.listener.listen(address, application)

    def _build_engines(self) -> dict[str, Engine]:
        client = httpx.AsyncClient(transport=self._transport)
        fetch_weights = WeightClient(
            client,
            f'http://{self.settings["weights_address"]}',
            self._clock,
            self.generator,
        )
        dependencies = EngineDependencies(
            self._clock,
            self.generator,
            self.faults,
            self.records,
            fetch_weights,
            self.adapter_loader,
        )
        engines = {}
        for document in self.settings['engines']:
            engine = Engine(_build_engine_settings(document), dependencies)
            engine.on_crash = _CrashHandler(
                self._terminate_process, document['name']
            )
            engines[document['name']] = engine
        return engines

    def _build_services(self) -> dict[str, PlainService]:
        record_stores: dict[str, RecordStore] = {}
        services = {}
        for document in self.settings['services']:
            settings = ServiceSettings(**document)
            service = PlainService(
                settings,
                self._clock,
                self.faults,
                self.records,
                record_stores.setdefault(settings.service, RecordStore()),
            )
            service.on_crash = _CrashHandler(
                self._terminate_process, settings.name
            )
            services[settings.name] = service
        return services

    def _publish_hosts(self) -> None:
        for host in self.settings['entry_hosts']:
            self.hosts.publish(HostEntry(**host, role='entry'))
        for target in self.targets.values():
            settings = target.settings
            self.hosts.publish(
                HostEntry(
                    settings.name,
                    settings.data_centre,
                    settings.address,
                    'target',
                    settings.service,
                ),
            )

    def _preload_held(self) -> None:
        for document in self.settings['held']:
            self.engines[document['target']].holdings.preload(
                HeldEntry(
                    document['model'],
                    document['version'],
                    document.get('adapter', ''),
                    document['bytes'],
                    'ready',
                ),
            )


class _CrashHandler:
    """Terminate the process of one target after a crash."""

    def __init__(self, terminate: Callable[[str], None], name: str) -> None:
        self._terminate = terminate
        self._name = name

    def __call__(self) -> None:
        self._terminate(self._name)


def _build_engine_settings(document: EngineDocument) -> EngineSettings:
    return EngineSettings(
        name=document['name'],
        service=document['service'],
        data_centre=document['data_centre'],
        address=document['address'],
        memory_bytes=document['memory_bytes'],
        accelerators=document['accelerators'],
        checks_fence=document['checks_fence'],
    )
