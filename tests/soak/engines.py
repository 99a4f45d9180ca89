"""Simulate model engines and a plain service, and record what actually ran."""

import asyncio
import json
import math
import random
import time

from tests.soak.behaviour import (
    FAULTY,
    MODELS,
    MODELS_PER_ENGINE,
    find_deadly_part,
)
from tests.soak.http_server import Abort, HttpServer
from tests.soak.links import Link
from tests.soak.loopback import ADDRESS
from tests.soak.stability import Arrival
from tests.soak.streams import EVENT_INTERVAL_S, Streams

HEARTBEAT_S = 0.4
_LOAD_DURATION_S = 0.4
_SERVICE_DURATION_S = 0.03
_RESTART_S = 1.0
# Draining engines serve for at least the time limit on new requests, and some
# much longer.
_DRAIN_RANGE_S = (2.5, 5.0)
# Some engines send an answer twice, at once or later.
_COPY_SHARE = 0.06
_COPY_DELAYS_S = (0.0, 0.05)
# Some answers are lost, or replaced by a failure that promises nothing.
_SPOILED_SHARE = 0.06
# Reports describe the engine as it was this long ago.
_REPORT_LAG_S = 0.1
_REPORT_HISTORY_S = 10.0
# Runs that last long.
_LONG_RANGE_S = (3.0, 7.0)


class Engine(Streams):
    """Simulate one target; each start has a new instance id."""

    def __init__(
        self, name, service, zone, records, store, seed, behaviour=FAULTY
    ):
        self.name = name
        self.service = service
        self.zone = zone
        self.instance = ''
        self.is_alive = False
        self.link = None
        self._records = records
        self._store = store
        self._generator = random.Random(seed)
        # The other draws of a seed stay the same.
        self._answer_generator = random.Random(f'{seed} answers')
        self._behaviour = behaviour
        self._pace_generator = random.Random(f'{seed} pace')
        self._run_times = {}
        self._incarnations = 0
        self._heartbeat_task = None
        self._order_tasks = set()
        self._state = 'ready'
        self._held = []
        self._seq = 0
        self._busy = False
        self._running = 0
        self._waiting = 0
        self._started_ms = 0
        self._leaving_since = None
        self._server = None
        self._restarts = set()

    async def start(self, held=()):
        """Start a new incarnation behind the link, unless one is running.

        Two faults that overlap may each end with a start.
        """
        if self.is_alive:
            return
        self.is_alive = True
        self._incarnations += 1
        self.instance = f'i-{self.name}-{self._incarnations}'
        self._started_ms = int(time.time() * 1000)
        self._held = list(held)
        self._seq = 0
        self._busy = False
        self._running = 0
        self._waiting = 0
        self._state = 'ready'
        self._leaving_since = None
        self._server = HttpServer(self._handle)
        await self._server.start()
        if self.link is None:
            self.link = Link(self._server.port)
        self.link.target_port = self._server.port
        await self.link.start()
        self._heartbeat_task = asyncio.ensure_future(self._send_heartbeats())

    def crash(self):
        """End without notice; the registry entry expires later."""
        self.is_alive = False
        self._records.broken_off.update(
            request_id
            for request_id, (_start, end) in self._run_times.items()
            if end == math.inf
        )
        self._heartbeat_task.cancel()
        for task in list(self._order_tasks):
            task.cancel()
        self._server.crash()
        self.link.stop()
        instance = self.instance
        loop = asyncio.get_running_loop()
        loop.call_later(
            HEARTBEAT_S * 3, lambda: self._store.delete('servers', instance)
        )

    async def leave(self, *, is_announced):
        """Drain, then end.

        Without an announcement the target only loses its registry entry.
        """
        self._state = 'draining'
        if is_announced:
            self._register()
        else:
            self._heartbeat_task.cancel()
            self._store.delete('servers', self.instance)
        self._leaving_since = time.monotonic()
        await asyncio.sleep(self._generator.uniform(*_DRAIN_RANGE_S))
        if self.is_alive:
            self.crash()
            self._store.delete('servers', self.instance)

    async def _send_heartbeats(self):
        while True:
            self._register()
            await asyncio.sleep(HEARTBEAT_S)

    def _register(self):
        self._store.put(
            'servers',
            self.instance,
            {
                'service': self.service,
                'addr': f'{ADDRESS}:{self.link.port}',
                'zone': self.zone,
                'version': 'v1',
                'slots': self._behaviour.slots,
                'state': self._state,
                'cold_left_ms': 0,
                'born': self._started_ms,
                'models': self._list_models(),
                'at_hand': {'in_memory': [], 'on_disk': list(MODELS)},
            },
        )

    def _list_models(self):
        return [{'name': name, 'adapters': []} for name in self._held]

    async def _handle(self, request, response):
        expected = request.headers.get('x-cassiarail-expect-instance')
        if expected not in {None, self.instance}:
            await self._refuse(request, response, 421)
        elif request.path == '/v1/report':
            await response.respond_json(200, self._make_report())
        elif request.path == '/v1/order':
            await self._handle_order(json.loads(request.body), response)
        else:
            await self._execute(request, response)

    def _make_report(self):
        return {
            'stage': 'both',
            'models': self._list_models(),
            'busy': self._busy,
            'seq': self._seq,
            'born': self._started_ms,
            'waiting': self._waiting,
            'running': self._running,
            'kv_used': 0,
            'kv_total': 1,
            'handles': 0,
            'runs': [[each, 10, 1, 5] for each in self._list_runs()],
        }

    def _list_runs(self):
        seen_at = time.monotonic() - _REPORT_LAG_S
        self._run_times = {
            request_id: times
            for request_id, times in self._run_times.items()
            if times[1] > seen_at - _REPORT_HISTORY_S
        }
        return [
            request_id
            for request_id, (started_at, ended_at) in self._run_times.items()
            if started_at <= seen_at < ended_at
        ]

    async def _refuse(self, request, response, status):
        self._draw_copy(response)
        headers = {
            'x-cassiarail-not-run': '1',
            'x-cassiarail-request-id': request.headers.get(
                'x-cassiarail-request-id', ''
            ),
            'retry-after': '0.3',
        }
        await response.respond(status, headers)

    def _draw_copy(self, response):
        generator = self._answer_generator
        if self._behaviour.is_sound:
            return
        if generator.random() < _COPY_SHARE:
            response.copy_delay_s = generator.choice(_COPY_DELAYS_S)
            self._records.faults['copy'] += 1

    async def _handle_order(self, order, response):
        leader = order['holder'].rpartition('.')[0]
        self._records.orders.append(
            (time.monotonic(), self.instance, leader, order['fence'])
        )
        if self._busy or order.get('expected', self._seq) != self._seq:
            await response.respond_json(409, {})
            return
        model = order['model']
        if order['op'] == 'load' and model in self._held:
            await response.respond_json(200, {})
            return
        self._seq += 1
        self._busy = True
        task = asyncio.ensure_future(self._execute_order(order['op'], model))
        self._order_tasks.add(task)
        task.add_done_callback(self._order_tasks.discard)
        await response.respond_json(202, {})

    async def _execute_order(self, operation, model):
        if operation == 'load':
            if len(self._held) >= MODELS_PER_ENGINE:
                self._records.overcommitted.append((self.instance, model))
            await asyncio.sleep(_LOAD_DURATION_S)
            self._held.append(model)
        else:
            if model in self._held:
                self._held.remove(model)
            while self._running:
                await asyncio.sleep(0.01)
        self._busy = False
        self._register()

    async def _execute(self, request, response):
        request_id = request.headers.get('x-cassiarail-request-id', '')
        self._records.receivers[request_id].add(self.name)
        if self._leaving_since is not None:
            self._records.arrivals.append(
                Arrival(
                    request_id, self.name, self._leaving_since, time.monotonic()
                )
            )
        model = request.headers.get('x-cassiarail-model', '').partition('/')[0]
        if model and model not in self._held:
            await self._refuse(request, response, 421)
            return
        if self._running >= self._behaviour.slots:
            if self._waiting >= self._behaviour.queue_length:
                await self._refuse(request, response, 503)
                return
            await self._wait_for_slot()
            if model and model not in self._held:
                await self._refuse(request, response, 421)
                return
        part = find_deadly_part(request.headers)
        if part is not None:
            await self._crash_at(part, request_id)
            return
        self._records.runs[request_id] += 1
        self._records.services.setdefault(request_id, self.service)
        self._running += 1
        self._run_times[request_id] = (time.monotonic(), math.inf)
        self._start_work(request_id)
        self._draw_copy(response)
        headers = {
            'x-cassiarail-request-id': request_id,
            'x-cassiarail-server-stamp': f'{self.instance}.{request_id}',
        }
        if self._leaving_since is not None:
            headers['server-leaving'] = '1'
        try:
            if model:
                await self._stream(request, response, headers)
            else:
                await asyncio.sleep(self._draw_duration(_SERVICE_DURATION_S))
                await self._answer(response, headers, request)
        finally:
            self._running -= 1
            self._end_work(request_id)
            started_at, _ended_at = self._run_times[request_id]
            self._run_times[request_id] = (started_at, time.monotonic())

    async def _wait_for_slot(self):
        self._waiting += 1
        try:
            while self._running >= self._behaviour.slots:
                await asyncio.sleep(0.01)
        finally:
            self._waiting -= 1

    def _start_work(self, request_id):
        self._records.work[request_id].append((time.monotonic(), math.inf))

    def _end_work(self, request_id):
        started_at, _end = self._records.work[request_id].pop()
        self._records.work[request_id].append((started_at, time.monotonic()))

    def _draw_duration(self, duration_s):
        """Return the usual duration of a run, or a long one."""
        generator = self._pace_generator
        if generator.random() < self._behaviour.long_share:
            return generator.uniform(*_LONG_RANGE_S)
        return duration_s

    async def _answer(self, response, headers, request):
        generator = self._answer_generator
        if self._behaviour.is_sound or generator.random() >= _SPOILED_SHARE:
            await response.respond(200, headers, request.body)
            return
        self._records.faults['spoiled'] += 1
        if generator.random() < 0.5:
            self._records.broken_off.add(headers['x-cassiarail-request-id'])
            raise Abort
        await response.respond(503, headers)

    async def _crash_at(self, part, request_id):
        """Crash as the answer to a request begins, and return later."""
        self._records.tainted.append((part, request_id, time.monotonic()))
        self._records.runs[request_id] += 1
        self._records.services.setdefault(request_id, self.service)
        await asyncio.sleep(EVENT_INTERVAL_S)
        if not self.is_alive:
            return
        self._records.crashes[part].append(time.monotonic())
        restart = asyncio.ensure_future(self._restart())
        self._restarts.add(restart)
        restart.add_done_callback(self._restarts.discard)
        self.crash()

    async def _restart(self):
        await asyncio.sleep(_RESTART_S)
        if not self.is_alive:
            await self.start(MODELS[:MODELS_PER_ENGINE])
