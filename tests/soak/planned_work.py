"""Stop, reload and reconfigure hosts in series, with sound engines."""

import asyncio
import random
import signal
import time

from tests.soak.behaviour import MODELS, SOUND
from tests.soak.drill import SoakRun
from tests.soak.sessions import Sessions

# The remaining runs also have the faults of the others.
_PLANNED_ONLY_SHARE = 0.7
_TWICE_SHARE = 0.4
_TWICE_RANGE_S = (0.05, 6.0)
_SERIES_GAPS_S = (0.05, 1.5)
_TIMEOUTS_S = (8.0, 12.0, 20.0)
_IDLE_LIMITS_MS = (3000, 6000, 15000)


class PlannedRun(SoakRun):
    """Run planned work with callers that keep their connections."""

    behaviour = SOUND
    route_timeout_s = 12.0
    recovery_s = 2.0

    def __init__(self, seed, scale, folder):
        super().__init__(seed, scale, folder)
        self._plan_generator = random.Random(f'{seed} planned work')
        self._is_planned_only = (
            self._plan_generator.random() < _PLANNED_ONLY_SHARE
        )
        self._sessions = None
        self._sessions_task = None
        self._has_route = False

    async def _start_sessions(self):
        self._sessions = Sessions(
            self._hosts, MODELS, self._callers.rotation, self._seed
        )
        self._sessions_task = asyncio.ensure_future(
            self._sessions.run(self._scale.sessions)
        )

    async def _end_sessions(self):
        await self._sessions_task
        return self._sessions.calls

    async def _inject_faults(self):
        work = self._do_planned_work()
        if self._is_planned_only:
            await work
        else:
            await asyncio.gather(work, super()._inject_faults())
        self._sessions.stop()

    async def _taint_prompts(self):
        if not self._is_planned_only:
            await super()._taint_prompts()

    async def _do_planned_work(self):
        generator = self._plan_generator
        scale = self._scale
        kinds = (
            self._stop_in_series,
            self._stop_one,
            self._reload,
            self._change_timeout,
            self._change_idle_limit,
            self._change_routes,
            self._change_in_series,
        )
        tasks = []
        for _work in range(scale.planned):
            gap_s = generator.expovariate(scale.planned / scale.seconds)
            await asyncio.sleep(min(gap_s, scale.seconds / 3))
            work = generator.choices(kinds, (2, 4, 2, 2, 2, 2, 1))[0]
            started_at = round(time.monotonic() - self._started_at, 2)
            self._injected.append((started_at, work.__name__.strip('_')))
            tasks.append(asyncio.ensure_future(work()))
        await asyncio.gather(*tasks)

    async def _stop_one(self, host=None):
        host = host or self._plan_generator.choice(self._hosts)
        if not host.is_running or host.is_stopping:
            return
        stop = asyncio.ensure_future(self._terminate_host(host, signal.SIGTERM))
        if self._plan_generator.random() < _TWICE_SHARE:
            await asyncio.sleep(self._plan_generator.uniform(*_TWICE_RANGE_S))
            if not stop.done():
                host.send(signal.SIGTERM)
        status = await stop
        if status and self._is_planned_only:
            self._violations.append(f'STOP {host.name} ended with {status}')

    async def _stop_in_series(self):
        gap_s = self._plan_generator.uniform(*_SERIES_GAPS_S)
        stops = []
        for host in self._hosts:
            stops.append(asyncio.ensure_future(self._stop_one(host)))
            await asyncio.sleep(gap_s)
        await asyncio.gather(*stops)

    async def _reload(self):
        for host in self._hosts:
            if self._plan_generator.random() < 0.5:
                host.link_mbps = self._plan_generator.randrange(500, 2000)
                host.write_settings()
            self._record_signal('SIGHUP', host)
            host.send(signal.SIGHUP)
            await asyncio.sleep(self._plan_generator.uniform(0, 0.5))

    async def _change_timeout(self):
        self.route_timeout_s = self._plan_generator.choice(_TIMEOUTS_S)
        self._write_configuration()

    async def _change_idle_limit(self):
        idle_ms = self._plan_generator.choice(_IDLE_LIMITS_MS)
        self._limits = {'idle_ms': idle_ms}
        self._write_configuration()

    async def _change_routes(self):
        self._has_route = not self._has_route
        self._write_configuration()

    async def _change_in_series(self):
        for _change in range(self._plan_generator.randrange(5, 15)):
            change = self._plan_generator.choice(
                (
                    self._change_timeout,
                    self._change_idle_limit,
                    self._change_routes,
                )
            )
            await change()
            await asyncio.sleep(0.35)

    def _make_routes(self):
        yield from super()._make_routes()
        if self._has_route:
            route = next(super()._make_routes())
            yield {**route, 'name': 'added', 'path_prefix': '/added/'}
