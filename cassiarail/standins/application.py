"""Own the stand-ins of all outside systems of a deployment."""

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
    EngineEnvironment,
    EngineSettings,
)
from cassiarail.standins.engine_api import EngineApi
from cassiarail.standins.faults import Faults
from cassiarail.standins.holdings import AdapterLoads, Held, WeightClient
from cassiarail.standins.hosts import LEAVING, LIVE, HostEntry, HostList
from cassiarail.standins.listeners import Listener
from cassiarail.standins.objects import ObjectApi
from cassiarail.standins.records import ExecutionRecords
from cassiarail.standins.service import (
    PlainService,
    Register,
    ServiceSettings,
)
from cassiarail.standins.settings import EngineDocument, StandinsDocument
from cassiarail.standins.weights import WeightLimits, WeightStore

_NamedTask = Callable[[str], Coroutine[Any, Any, None]]
PLATFORM_GROUP = 'platform'
_STOP_POLL_S = 0.1
# A leaving target stays at least this long, so that late new work is seen.
_LINGER_S = 5
# A connection that is answered last needs a moment to deliver its end.
_STOP_MARGIN_S = 0.5


class Standins(Component):
    """Serve all outside systems and let their targets crash and leave."""

    name = 'standins'

    def __init__(
        self,
        settings: StandinsDocument,
        clock: Clock,
        listener: Listener,
        transport: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        """Take the transport with which engines reach the weight store."""
        self.settings = settings
        self._clock = clock
        self.listener = listener
        self._transport = transport
        self._group: TaskGroup | None = None
        generator = random.Random(settings['seed'])
        self.generator = generator
        self.faults = Faults(generator)
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
        self.adapter_loads = AdapterLoads(
            clock, settings['adapter_loads_in_flight']
        )
        self.engines = self._build_engines()
        self.services = self._build_services()
        self._publish_hosts()
        self._place_held()

    @property
    def targets(self) -> dict[str, Engine | PlainService]:
        """Return all targets by their names."""
        return {**self.engines, **self.services}

    async def start(self) -> None:
        """Listen at all addresses."""
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
        for address in self._list_platform():
            self.listener.join_group(address, PLATFORM_GROUP)

    async def run(self) -> None:
        """Run the engines until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            for engine in self.engines.values():
                group.start_soon(engine.run)
            await anyio.sleep_forever()

    def _list_platform(self) -> tuple[str, ...]:
        return (
            self.settings['objects_address'],
            self.settings['weights_address'],
            self.settings['hosts_address'],
        )

    def crash_target(self, name: str) -> None:
        """Crash a target; it comes back empty after ``restart_s``."""
        self.targets[name].crash()

    def leave_target(self, name: str) -> None:
        """Begin the planned stop of a target; it comes back later."""
        target = self.targets[name]
        if target.is_down or target.is_leaving:
            return
        target.leave()
        self.hosts.set_state(name, LEAVING)
        self.spawn(self._stop_when_idle, name)

    def spawn(self, function: _NamedTask, name: str) -> None:
        """Run a function in the background with a name as its argument."""
        if self._group is not None:
            self._group.start_soon(function, name)

    async def _stop_when_idle(self, name: str) -> None:
        target = self.targets[name]
        began_at = self._clock.monotonic()
        until = began_at + self.settings['leave_s']
        await self._clock.sleep(min(self.settings['leave_s'], _LINGER_S))
        while target.in_progress and self._clock.monotonic() < until:
            await self._clock.sleep(_STOP_POLL_S)
        await self._clock.sleep(_STOP_MARGIN_S)
        if target.is_leaving and not target.is_down:
            target.stop()
            self.listener.kill(target.settings.address)
            await self._restart_later(name)

    def _end_process(self, name: str) -> None:
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
        fetch = WeightClient(
            client,
            f'http://{self.settings["weights_address"]}',
            self._clock,
            self.generator,
        )
        environment = EngineEnvironment(
            self._clock,
            self.generator,
            self.faults,
            self.records,
            fetch,
            self.adapter_loads,
        )
        engines = {}
        for document in self.settings['engines']:
            engine = Engine(_read_engine(document), environment)
            engine.on_crash = _Ending(self._end_process, document['name'])
            engines[document['name']] = engine
        return engines

    def _build_services(self) -> dict[str, PlainService]:
        registers: dict[str, Register] = {}
        services = {}
        for document in self.settings['services']:
            settings = ServiceSettings(**document)
            service = PlainService(
                settings,
                self._clock,
                self.faults,
                self.records,
                registers.setdefault(settings.service, Register()),
            )
            service.on_crash = _Ending(self._end_process, settings.name)
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

    def _place_held(self) -> None:
        for document in self.settings['held']:
            self.engines[document['target']].holdings.place(
                Held(
                    document['model'],
                    document['version'],
                    document.get('adapter', ''),
                    document['bytes'],
                    'ready',
                ),
            )


class _Ending:
    """End the process of one target."""

    def __init__(self, end: Callable[[str], None], name: str) -> None:
        self._end = end
        self._name = name

    def __call__(self) -> None:
        self._end(self._name)


def _read_engine(document: EngineDocument) -> EngineSettings:
    return EngineSettings(
        name=document['name'],
        service=document['service'],
        data_centre=document['data_centre'],
        address=document['address'],
        memory_bytes=document['memory_bytes'],
        accelerators=document['accelerators'],
        checks_fence=document['checks_fence'],
    )
