"""Stand in for model engines and a plain service, and keep what really ran."""

import asyncio
import collections
import json
import random
import time

from tests.soak.links import Link
from tests.soak.loopback import ADDRESS
from tests.soak.touch import Arrival, Work
from tests.soak.wire import HttpServer

BEAT_S = 0.4
EVENTS = 6
MODELS = ('m0', 'm1', 'm2', 'm3')
PLACES = 2
MODEL_GB = 70
_EVENT_S = 0.03
_LOAD_S = 0.4
_WORK_S = 0.03
# Engines serve for at least the bound on leaving, and at times much longer.
_DRAIN_S = (2.5, 5.0)
# Some streams last long enough for clients to leave in the middle.
_SLOW_EVENT_S = 0.4
_SLOW_SHARE = 0.15


class Records:
    """Hold what ran and which orders came, over all engines."""

    def __init__(self):
        self.runs = collections.Counter()
        self.services = {}
        self.orders = []
        self.overfull = []
        self.arrivals = []
        self.works = []


def make_events(request_id):
    """Return the pieces of a stream."""
    return [
        f'id: {number}\ndata: {request_id}-{number}\n\n'.encode()
        for number in range(1, EVENTS + 1)
    ]


class Engine:
    """Run one target; each start has an id of its own."""

    def __init__(self, name, service, zone, records, store, seed):
        self.name = name
        self.service = service
        self.zone = zone
        self.instance = ''
        self.is_alive = False
        self.link = None
        self._records = records
        self._store = store
        self._generator = random.Random(seed)
        self._starts = 0
        self._beat = None
        self._orders = set()
        self._state = 'ready'
        self._held = []
        self._seq = 0
        self._busy = False
        self._running = 0
        self._born = 0
        self._left_at = None
        self._server = None

    async def start(self, held=()):
        """Start as a new incarnation behind a link of its own."""
        self._starts += 1
        self.instance = f'i-{self.name}-{self._starts}'
        self._born = int(time.time() * 1000)
        self._held = list(held)
        self._seq = 0
        self._busy = False
        self._running = 0
        self._state = 'ready'
        self._left_at = None
        self._server = HttpServer(self._handle)
        await self._server.start()
        if self.link is None:
            self.link = Link(self._server.port)
            await self.link.start()
        self.link.target_port = self._server.port
        self.is_alive = True
        self._beat = asyncio.ensure_future(self._keep_entry())

    def crash(self):
        """End without a word; the entry lapses later."""
        self.is_alive = False
        self._beat.cancel()
        for work in list(self._orders):
            work.cancel()
        self._server.crash()
        instance = self.instance
        loop = asyncio.get_running_loop()
        loop.call_later(
            BEAT_S * 3, lambda: self._store.delete('servers', instance)
        )

    async def leave(self, *, is_told):
        """Drain, then end; one that isn't told just loses its entry."""
        self._state = 'draining'
        if is_told:
            self._register()
        else:
            self._beat.cancel()
            self._store.delete('servers', self.instance)
        self._left_at = time.monotonic()
        await asyncio.sleep(self._generator.uniform(*_DRAIN_S))
        if self.is_alive:
            self.crash()
            self._store.delete('servers', self.instance)

    async def _keep_entry(self):
        while True:
            self._register()
            await asyncio.sleep(BEAT_S)

    def _register(self):
        self._store.put(
            'servers',
            self.instance,
            {
                'service': self.service,
                'addr': f'{ADDRESS}:{self.link.port}',
                'zone': self.zone,
                'version': 'v1',
                'slots': 8,
                'state': self._state,
                'cold_left_ms': 0,
                'born': self._born,
                'models': self._describe(),
                'at_hand': {'in_memory': [], 'on_disk': list(MODELS)},
            },
        )

    def _describe(self):
        return [{'name': name, 'adapters': []} for name in self._held]

    async def _handle(self, request, response):
        expected = request.headers.get('x-cassiarail-expect-instance')
        if expected not in {None, self.instance}:
            await response.answer(421, {'x-cassiarail-not-run': '1'})
        elif request.path == '/v1/report':
            await response.answer_json(200, self._report())
        elif request.path == '/v1/order':
            await self._take_order(json.loads(request.body), response)
        else:
            await self._run(request, response)

    def _report(self):
        return {
            'stage': 'both',
            'models': self._describe(),
            'busy': self._busy,
            'seq': self._seq,
            'born': self._born,
            'waiting': 0,
            'running': self._running,
            'kv_used': 0,
            'kv_total': 1,
            'handles': 0,
        }

    async def _take_order(self, order, response):
        machine = order['holder'].rpartition('.')[0]
        self._records.orders.append(
            (time.monotonic(), self.instance, machine, order['fence'])
        )
        if self._busy or order.get('expected', self._seq) != self._seq:
            await response.answer_json(409, {})
            return
        model = order['model']
        if order['op'] == 'load' and model in self._held:
            await response.answer_json(200, {})
            return
        self._seq += 1
        self._busy = True
        work = asyncio.ensure_future(self._carry_out(order['op'], model))
        self._orders.add(work)
        work.add_done_callback(self._orders.discard)
        await response.answer_json(202, {})

    async def _carry_out(self, operation, model):
        if operation == 'load':
            if len(self._held) >= PLACES:
                self._records.overfull.append((self.instance, model))
            await asyncio.sleep(_LOAD_S)
            self._held.append(model)
        else:
            if model in self._held:
                self._held.remove(model)
            while self._running:
                await asyncio.sleep(0.01)
        self._busy = False
        self._register()

    async def _run(self, request, response):
        request_id = request.headers.get('x-cassiarail-request-id', '')
        if self._left_at is not None:
            self._records.arrivals.append(
                Arrival(request_id, self.name, self._left_at, time.monotonic())
            )
        model = request.headers.get('x-cassiarail-model', '').partition('/')[0]
        if model and model not in self._held:
            await response.answer(421, {'x-cassiarail-not-run': '1'})
            return
        if self._running >= 8:
            await response.answer(503, {'x-cassiarail-not-run': '1'})
            return
        self._records.runs[request_id] += 1
        self._records.services.setdefault(request_id, self.service)
        self._running += 1
        headers = {
            'x-cassiarail-request-id': request_id,
            'x-cassiarail-server-stamp': f'{self.instance}.{request_id}',
        }
        try:
            if model:
                await self._stream(request, response, headers)
            else:
                await asyncio.sleep(_WORK_S)
                await response.answer(200, headers, request_id.encode())
        finally:
            self._running -= 1

    async def _stream(self, request, response, headers):
        first = int(request.headers.get('last-event-id', 0))
        request_id = headers['x-cassiarail-request-id']
        response.begin(
            200,
            {
                **headers,
                'content-type': 'text/event-stream',
                'transfer-encoding': 'chunked',
            },
        )
        pieces = make_events(request_id)[first:]
        is_slow = self._generator.random() < _SLOW_SHARE
        event_s = _SLOW_EVENT_S if is_slow else _EVENT_S
        begun_at = time.monotonic()
        try:
            for piece in pieces:
                await asyncio.sleep(event_s)
                await response.send(piece)
            await response.finish()
        finally:
            self._records.works.append(
                Work(
                    request_id,
                    self.name,
                    begun_at,
                    time.monotonic(),
                    begun_at + event_s * len(pieces),
                )
            )
