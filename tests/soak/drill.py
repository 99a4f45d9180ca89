"""Run one seed: processes, traffic and faults that overlap."""

import asyncio
import pathlib
import random
import tempfile
import time
from typing import NamedTuple

from tests.soak.behaviour import (
    FAULTY,
    MODEL_GB,
    MODELS,
    MODELS_PER_ENGINE,
    Records,
)
from tests.soak.callers import HOST, Callers
from tests.soak.engines import Engine
from tests.soak.faults import ZONES, FaultInjector
from tests.soak.guarantees import (
    RECOVERED_SHARE,
    compute_served_share,
    find_violations,
)
from tests.soak.hosts import Host
from tests.soak.losses import PlannedWork, count_ends
from tests.soak.store import Store

# From the end of the last fault to the first requests that must be served; the
# platform requires recovery within 12 s.
_RECOVERY_S = 8.0
_MEASURED_S = 3.0
_START_TIMEOUT_S = 15.0


class Scale(NamedTuple):
    """Hold the size of a run; times are seconds."""

    hosts: int = 3
    engines: int = 4
    seconds: float = 12.0
    per_s: float = 25.0
    faults: int = 8
    sessions: int = 0
    planned: int = 0


class Report(NamedTuple):
    """Hold the result of a run; ``broken`` describes violated guarantees.

    ``answers`` counts the answers that engines drew a fault for, ``ends`` how
    requests without a success ended.
    """

    seed: int
    calls: int
    served: int
    faults: list
    broken: list
    answers: dict
    ends: dict


class SoakRun(FaultInjector):
    """Run the processes, stand-ins, traffic and faults of one seed."""

    behaviour = FAULTY
    route_timeout_s = 3.0
    recovery_s = _RECOVERY_S

    def __init__(self, seed, scale, folder):
        self._seed = seed
        self._scale = scale
        self._generator = random.Random(seed)
        self._records = Records()
        self._store = Store(seed)
        self._folder = folder
        self._hosts = []
        self._engines = []
        self._resumed = []
        self._fault_periods = []
        self._plan = []
        self._violations = []
        self._limits = {}
        self._callers = None
        self._injected = []
        self._version = 1
        self._started_at = 0

    async def run(self):
        """Run to the end and return the report."""
        await self._start()
        callers = Callers(self._hosts, MODELS, self._seed)
        self._callers = callers
        background = [
            asyncio.ensure_future(each)
            for each in (
                callers.run(self._scale.per_s),
                callers.poll_readiness(),
                self._restart_hosts(),
            )
        ]
        await self._start_sessions()
        try:
            await self._wait_until_ready(callers)
            self._started_at = time.monotonic()
            taints = asyncio.ensure_future(self._taint_prompts())
            background.append(taints)
            await self._inject_faults()
            await taints
            faults_ended_at = time.monotonic()
            await asyncio.sleep(self.recovery_s + _MEASURED_S)
            background[0].cancel()
            await callers.wait_until_idle()
            calls = [*callers.calls, *await self._end_sessions()]
        finally:
            for each in background:
                each.cancel()
            await asyncio.gather(*(host.terminate() for host in self._hosts))
        violations = find_violations(
            calls,
            self._records,
            self._resumed,
            self._fault_periods,
            self._plan,
        )
        violations.extend(self._violations)
        share = compute_served_share(calls, faults_ended_at + self.recovery_s)
        if share < RECOVERED_SHARE:
            violations.append(f'RECOVER {share:.2f} were served at the end')
        served = sum(call.status == 200 and call.is_complete for call in calls)
        return Report(
            self._seed,
            len(calls),
            served,
            self._injected,
            violations,
            dict(self._records.faults),
            count_ends(calls, self._records, self._plan),
        )

    async def _start_sessions(self):
        """Start callers that keep their connections, if a run has some."""

    async def _end_sessions(self):
        """End these callers and return their requests."""
        return []

    async def _start(self):
        scale = self._scale
        await self._store.server.start()
        self._write_configuration()
        for number in range(scale.engines):
            held = MODELS[number % len(MODELS) :][:MODELS_PER_ENGINE]
            await self._add_engine(f'e{number}', 'llm', number, held)
        for number in range(2):
            await self._add_engine(f's{number}', 'app', number, ())
        for number in range(scale.hosts):
            host = Host(
                f'h{number}',
                ZONES[number % len(ZONES)],
                self._folder,
                self._store.server.port,
            )
            self._hosts.append(host)
            await host.start()

    async def _add_engine(self, name, service, number, held):
        zone = ZONES[number % len(ZONES)]
        engine = Engine(
            name,
            service,
            zone,
            self._records,
            self._store,
            number,
            self.behaviour,
        )
        self._engines.append(engine)
        await engine.start(held)

    def _write_configuration(self):
        self._version += self._generator.randrange(1, 4)
        models = [
            {
                'name': name,
                'weights_mb': MODEL_GB * 1000,
                'load_s': 2.0,
                'disk_s': 0.4,
                'warm_s': 0.4,
                'adapters': 0,
            }
            for name in MODELS
        ]
        services = [
            {'name': 'app', 'max_conns': 200},
            {
                'name': 'llm',
                'max_conns': 200,
                'engine': {
                    'slots': self.behaviour.slots,
                    'kv_tokens': 1000,
                    'weights_mb': MODEL_GB * 1000 * MODELS_PER_ENGINE,
                    'adapter_slots': 0,
                    'loads_per_s': 2,
                    'models': models,
                },
            },
        ]
        self._store.put(
            'config',
            'main',
            {
                'version': self._version,
                'routes': list(self._make_routes()),
                'services': services,
                'limits': self._limits,
            },
        )
        self._plan.append(
            PlannedWork(
                'configuration', '', time.monotonic(), self.route_timeout_s
            )
        )

    def _make_routes(self):
        for name, service, kind, can_resume in (
            ('file', 'app', 'non_idempotent', False),
            ('read', 'app', 'idempotent', False),
            ('stream', 'llm', 'stream', False),
            ('resume', 'llm', 'stream', True),
        ):
            yield {
                'name': name,
                'host': HOST,
                'path_prefix': f'/{name}/',
                'kind': kind,
                'timeout_ms': int(self.route_timeout_s * 1000),
                'attempts': 2 if can_resume or kind == 'idempotent' else 1,
                'goal_ms': 500,
                'priority': 1,
                'service': service,
                'can_resume': can_resume,
                'gap_aim_ms': 300,
            }

    async def _wait_until_ready(self, callers):
        async with asyncio.timeout(_START_TIMEOUT_S):
            while not (
                callers.rotation
                and all(callers.rotation.values())
                and callers.calls
            ):
                await asyncio.sleep(0.1)

    async def _restart_hosts(self):
        # The platform restarts a process shortly after it has ended.
        while True:
            await asyncio.sleep(0.3)
            for host in self._hosts:
                if not host.is_running:
                    await host.start()


async def play(seed, scale, folder=None, run_type=SoakRun):
    """Run one seed; logs are retained in ``folder`` if it is given."""
    with tempfile.TemporaryDirectory() as temporary_folder:
        soak_run = run_type(
            seed, scale, pathlib.Path(folder or temporary_folder)
        )
        return await soak_run.run()
