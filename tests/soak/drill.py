"""Play one seeded run: processes, traffic and faults that overlap."""

import asyncio
import contextlib
import pathlib
import random
import signal
import tempfile
import time
from typing import NamedTuple

from tests.soak.callers import HOST, Callers
from tests.soak.engines import MODEL_GB, MODELS, PLACES, Engine, Records
from tests.soak.hosts import Host
from tests.soak.judge import (
    RECOVERED_SHARE,
    find_broken_promises,
    share_served,
)
from tests.soak.links import MODES
from tests.soak.store import Store
from tests.soak.touch import STORE, Trouble

ZONES = ('za', 'zb', 'zc')
# From the end of the last fault to the requests that have to be served; the
# platform's bound on recovery is 12 s.
_HEAL_S = 8.0
_AFTER_S = 3.0
_START_S = 15.0
# From the end of a process to the ready state of the next one.
_RESTART_S = 2.0
# The other engines that leave just lose their entries.
_TOLD_SHARE = 0.6


class Scale(NamedTuple):
    """Say how large a run is; times are seconds."""

    hosts: int = 3
    engines: int = 4
    seconds: float = 12.0
    per_s: float = 25.0
    faults: int = 8


class Report(NamedTuple):
    """Hold what a run showed."""

    seed: int
    calls: int
    served: int
    faults: list
    broken: list


class Drill:
    """Own the processes and stand-ins of one run."""

    def __init__(self, seed, scale, folder):
        self._seed = seed
        self._scale = scale
        self._generator = random.Random(seed)
        self._records = Records()
        self._store = Store(seed)
        self._folder = folder
        self._hosts = []
        self._engines = []
        self._thawed = []
        self._troubles = []
        self._done = []
        self._version = 1
        self._begun = 0

    async def run(self):
        """Play the run and return what it showed."""
        await self._start()
        callers = Callers(self._hosts, MODELS, self._seed)
        work = [
            asyncio.ensure_future(each)
            for each in (
                callers.run(self._scale.per_s),
                callers.follow_readiness(),
                self._revive(),
            )
        ]
        try:
            await self._wait_until_ready(callers)
            self._begun = time.monotonic()
            await self._play_faults()
            healed_at = time.monotonic()
            await asyncio.sleep(_HEAL_S + _AFTER_S)
            work[0].cancel()
            await callers.settle()
        finally:
            for each in work:
                each.cancel()
            await asyncio.gather(*(host.end() for host in self._hosts))
        calls = callers.calls
        broken = find_broken_promises(
            calls, self._records, self._thawed, self._troubles
        )
        share = share_served(calls, healed_at + _HEAL_S)
        if share < RECOVERED_SHARE:
            broken.append(f'RECOVER {share:.2f} were served at the end')
        served = sum(call.status == 200 and call.is_whole for call in calls)
        return Report(self._seed, len(calls), served, self._done, broken)

    async def _start(self):
        scale = self._scale
        await self._store.server.start()
        self._write_configuration()
        for number in range(scale.engines):
            held = MODELS[number % len(MODELS) :][:PLACES]
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
        engine = Engine(name, service, zone, self._records, self._store, number)
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
                    'slots': 8,
                    'kv_tokens': 1000,
                    'weights_mb': MODEL_GB * 1000 * PLACES,
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
                'routes': list(_make_routes()),
                'services': services,
                'limits': {},
            },
        )

    async def _wait_until_ready(self, callers):
        async with asyncio.timeout(_START_S):
            while not (
                callers.rotation
                and all(callers.rotation.values())
                and callers.calls
            ):
                await asyncio.sleep(0.1)

    async def _revive(self):
        # The platform starts a process again shortly after it has ended.
        while True:
            await asyncio.sleep(0.3)
            for host in self._hosts:
                if not host.is_running:
                    await host.start()

    async def _play_faults(self):
        scale = self._scale
        kinds = (
            self._kill_host,
            self._freeze_host,
            self._stop_host,
            self._hang_up,
            self._spoil_store_link,
            self._spoil_store,
            self._crash_engine,
            self._drain_engine,
            self._spoil_engine_link,
            self._change_configuration,
            self._kill_all,
        )
        tasks = []
        for _fault in range(scale.faults):
            gap_s = self._generator.expovariate(scale.faults / scale.seconds)
            await asyncio.sleep(min(gap_s, scale.seconds / 3))
            fault = self._generator.choices(
                kinds, (3, 3, 3, 1, 3, 3, 3, 2, 3, 2, 0.5)
            )[0]
            at = round(time.monotonic() - self._begun, 2)
            self._done.append((at, fault.__name__.strip('_')))
            tasks.append(asyncio.ensure_future(fault()))
        await asyncio.gather(*tasks)

    def _pick_host(self):
        return self._generator.choice(self._hosts)

    def _pick_engine(self):
        alive = [engine for engine in self._engines if engine.is_alive]
        return self._generator.choice(alive) if alive else None

    @contextlib.contextmanager
    def _disturb(self, *subjects, after_s=0):
        """Note trouble that lasts for ``after_s`` beyond the block."""
        begun_at = time.monotonic()
        try:
            yield
        finally:
            ended_at = time.monotonic() + after_s
            self._troubles.extend(
                Trouble(subject, begun_at, ended_at) for subject in subjects
            )

    async def _end_host(self, host, number=signal.SIGKILL):
        with self._disturb(host.name, after_s=_RESTART_S):
            await host.end(number)

    async def _kill_host(self):
        await self._end_host(self._pick_host())

    async def _kill_all(self):
        await asyncio.gather(*map(self._end_host, self._hosts))

    async def _stop_host(self):
        await self._end_host(self._pick_host(), signal.SIGTERM)

    async def _hang_up(self):
        for host in self._hosts:
            host.send(signal.SIGHUP)

    async def _freeze_host(self):
        host = self._pick_host()
        with self._disturb(host.name):
            host.send(signal.SIGSTOP)
            await asyncio.sleep(self._generator.uniform(0.3, 5))
            host.send(signal.SIGCONT)
        self._thawed.append((host.machine, time.monotonic()))

    async def _spoil_store_link(self):
        host = self._pick_host()
        await self._spoil(host.link, host.name)

    async def _spoil_engine_link(self):
        engine = self._pick_engine()
        if engine is not None:
            await self._spoil(engine.link, engine.name)

    async def _spoil(self, link, subject):
        with self._disturb(subject):
            link.mode = self._generator.choice(MODES[1:])
            if link.mode == 'refuse':
                link.reset()
            await asyncio.sleep(self._generator.uniform(0.5, 5))
            link.mode = 'pass'
            link.reset()

    async def _spoil_store(self):
        fault = self._generator.choice(('busy', 'slow', 'lost', 'compact'))
        if fault == 'compact':
            # Forgetting history is allowed at any time and excuses nothing.
            self._store.compact()
            return
        with self._disturb(STORE):
            self._store.fault = fault
            await asyncio.sleep(self._generator.uniform(0.5, 4))
            self._store.fault = ''

    async def _crash_engine(self):
        engine = self._pick_engine()
        if engine is not None:
            engine.crash()
            await asyncio.sleep(self._generator.uniform(0.5, 3))
            await engine.start(MODELS[:PLACES])

    async def _drain_engine(self):
        engine = self._pick_engine()
        if engine is not None:
            await engine.leave(is_told=self._generator.random() < _TOLD_SHARE)
            if not engine.is_alive:
                await engine.start(MODELS[1 : 1 + PLACES])

    async def _change_configuration(self):
        for _change in range(self._generator.randrange(1, 5)):
            self._write_configuration()
            await asyncio.sleep(0.1)


def _make_routes():
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
            'timeout_ms': 3000,
            'attempts': 2 if can_resume or kind == 'idempotent' else 1,
            'goal_ms': 500,
            'priority': 1,
            'service': service,
            'can_resume': can_resume,
            'gap_aim_ms': 300,
        }


async def play(seed, scale, folder=None):
    """Play one seed; logs stay in ``folder`` if one is named."""
    with tempfile.TemporaryDirectory() as scratch:
        drill = Drill(seed, scale, pathlib.Path(folder or scratch))
        return await drill.run()
