"""Inject the faults of one seed, and record whom each concerns and how long."""

import asyncio
import contextlib
import random
import signal
import time

from tests.soak.behaviour import (
    DEADLY,
    MODELS,
    MODELS_PER_ENGINE,
)
from tests.soak.links import MODES
from tests.soak.losses import PlannedWork
from tests.soak.stability import STORE, FaultPeriod

ZONES = ('za', 'zb', 'zc')
# From the end of a process until its successor is ready.
_RESTART_S = 2.0
# The remaining engines that leave only lose their registry entries.
_ANNOUNCED_SHARE = 0.6


class FaultInjector:
    """Inject faults into the processes and stand-ins that a run owns."""

    async def _inject_faults(self):
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
            injected_at = round(time.monotonic() - self._started_at, 2)
            self._injected.append((injected_at, fault.__name__.strip('_')))
            tasks.append(asyncio.ensure_future(fault()))
        await asyncio.gather(*tasks)

    def _choose_host(self):
        return self._generator.choice(self._hosts)

    def _choose_engine(self):
        running_engines = [
            engine for engine in self._engines if engine.is_alive
        ]
        return (
            self._generator.choice(running_engines) if running_engines else None
        )

    @contextlib.contextmanager
    def _record_fault(self, *subjects, after_s=0, is_planned=False):
        """Record a fault that lasts until ``after_s`` after the block."""
        started_at = time.monotonic()
        try:
            yield
        finally:
            ended_at = time.monotonic() + after_s
            self._fault_periods.extend(
                FaultPeriod(subject, started_at, ended_at, is_planned)
                for subject in subjects
            )

    async def _terminate_host(self, host, signal_number=signal.SIGKILL):
        is_planned = signal_number == signal.SIGTERM
        if is_planned:
            self._record_signal('SIGTERM', host)
        with self._record_fault(
            host.name, after_s=_RESTART_S, is_planned=is_planned
        ):
            return await host.terminate(signal_number)

    def _record_signal(self, kind, host):
        self._plan.append(PlannedWork(kind, host.name, time.monotonic()))

    async def _kill_host(self):
        await self._terminate_host(self._choose_host())

    async def _kill_all(self):
        await asyncio.gather(*map(self._terminate_host, self._hosts))

    async def _stop_host(self):
        await self._terminate_host(self._choose_host(), signal.SIGTERM)

    async def _hang_up(self):
        for host in self._hosts:
            self._record_signal('SIGHUP', host)
            host.send(signal.SIGHUP)

    async def _freeze_host(self):
        host = self._choose_host()
        with self._record_fault(host.name):
            host.send(signal.SIGSTOP)
            await asyncio.sleep(self._generator.uniform(0.3, 5))
            host.send(signal.SIGCONT)
        self._resumed.append((host.leader_name, time.monotonic()))

    async def _spoil_store_link(self):
        host = self._choose_host()
        await self._impair_link(host.link, host.name)

    async def _spoil_engine_link(self):
        engine = self._choose_engine()
        if engine is not None:
            await self._impair_link(engine.link, engine.name)

    async def _impair_link(self, link, subject):
        with self._record_fault(subject):
            link.mode = self._generator.choice(MODES[1:])
            if link.mode == 'refuse':
                link.reset()
            await asyncio.sleep(self._generator.uniform(0.5, 5))
            link.mode = 'pass'
            link.reset()

    async def _spoil_store(self):
        fault = self._generator.choice(('busy', 'slow', 'lost', 'compact'))
        if fault == 'compact':
            # A store may discard its history at any time, so this isn't
            # recorded as a fault.
            self._store.compact()
            return
        with self._record_fault(STORE):
            self._store.fault = fault
            await asyncio.sleep(self._generator.uniform(0.5, 4))
            self._store.fault = ''

    async def _crash_engine(self):
        engine = self._choose_engine()
        if engine is not None:
            engine.crash()
            await asyncio.sleep(self._generator.uniform(0.5, 3))
            await engine.start(MODELS[:MODELS_PER_ENGINE])

    async def _drain_engine(self):
        engine = self._choose_engine()
        if engine is not None:
            await engine.leave(
                is_announced=self._generator.random() < _ANNOUNCED_SHARE
            )
            if not engine.is_alive:
                await engine.start(MODELS[1 : 1 + MODELS_PER_ENGINE])

    async def _taint_prompts(self):
        """Add up to two parts that crash engines, each for a while.

        A generator of its own keeps the other faults of a seed as they are.
        """
        generator = random.Random(f'{self._seed} prompts')
        for _part in range(generator.randrange(3)):
            part = f'{DEADLY}{generator.getrandbits(32):08x}'
            await asyncio.sleep(generator.uniform(0, 3))
            self._injected.append((0, f'taint {part}'))
            self._callers.deadly_parts.append(part)
            await asyncio.sleep(generator.uniform(3, 9))
            self._callers.deadly_parts.remove(part)

    async def _change_configuration(self):
        for _change in range(self._generator.randrange(1, 5)):
            self._write_configuration()
            await asyncio.sleep(0.1)
