"""Stand-ins for a small deployment: store, engines, clients and processes.

They speak HTTP/1.1 on loopback addresses as PROTOCOL.md describes it. A case
starts them, lets clients send requests, and records what everyone has seen.
"""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import random
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Iterator
from typing import Any, NamedTuple

ROOT = pathlib.Path(__file__).resolve().parent.parent
BROKEN, HELD, NOT_RUN = 1, 0, 2
HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'
_OCTETS = random.sample(range(20, 250), 200)
_next_octet = iter(_OCTETS).__next__
_ids = itertools.count(1)
_run_id = random.getrandbits(32)

Headers = dict[str, str]


def make_ip() -> str:
    """Return a loopback address that nothing else of this run uses."""
    return f'127.{_OCTETS[-1]}.{_next_octet()}.1'


def find_port(ip: str) -> int:
    """Return a free port of an address."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        port: int = probe.getsockname()[1]
        return port


class Record:
    """Write what happens to ``record.txt``, with the time in seconds."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / 'record.txt').open('w')
        self.started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.started_at

    def note(self, text: str) -> None:
        """Write one line."""
        self._file.write(f'{self.now():8.3f} {text}\n')
        self._file.flush()


class Message(NamedTuple):
    """Hold a request or a response; header names are in lower case."""

    start: str
    headers: Headers
    body: bytes

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.start.split(' ')[0]

    @property
    def target(self) -> str:
        """Return the path and the query of a request."""
        return self.start.split(' ')[1]

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start.split(' ')[1])


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Headers]:
    """Read the start line and the headers of a message."""
    raw = await reader.readuntil(b'\r\n\r\n')
    start, *lines = raw.decode('latin-1').rstrip('\r\n').split('\r\n')
    pairs = (line.partition(':') for line in lines)
    return start, {name.lower(): text.strip() for name, _, text in pairs}


async def read_chunks(reader: asyncio.StreamReader) -> list[bytes]:
    """Read a chunked body to its end."""
    chunks = []
    while True:
        size = int((await reader.readline()).partition(b';')[0], 16)
        chunk = await reader.readexactly(size + 2)
        if not size:
            return chunks
        chunks.append(chunk[:-2])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a complete message that has a length or chunks."""
    start, headers = await read_head(reader)
    if 'chunked' in headers.get('transfer-encoding', ''):
        body = b''.join(await read_chunks(reader))
    else:
        body = await reader.readexactly(int(headers.get('content-length', 0)))
    return Message(start, headers, body)


def encode(start: str, headers: Headers, body: bytes = b'') -> bytes:
    """Return the bytes of a message; the caller sets its framing."""
    lines = [start, *(f'{name}: {text}' for name, text in headers.items())]
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


class Response:
    """Send the response to one request."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self.writer = writer

    def send(self, status: int, headers: Headers, body: bytes = b'') -> None:
        """Send a complete response."""
        framed = {**headers, 'Content-Length': str(len(body))}
        self.writer.write(encode(f'HTTP/1.1 {status} -', framed, body))

    def send_json(self, status: int, document: Any) -> None:
        """Send a JSON document."""
        headers = {'Content-Type': 'application/json'}
        self.send(status, headers, json.dumps(document).encode())

    def begin_chunks(self, headers: Headers) -> None:
        """Send the head of a response in chunks."""
        framed = {**headers, 'Transfer-Encoding': 'chunked'}
        self.writer.write(encode('HTTP/1.1 200 -', framed))

    def send_chunk(self, chunk: bytes) -> None:
        """Send one chunk; an empty one ends the body."""
        self.writer.write(b'%x\r\n%s\r\n' % (len(chunk), chunk))


Handler = Callable[[Message, Response], Awaitable[None]]


class Server:
    """Serve HTTP on one address until it is crashed or closed."""

    def __init__(self, handle: Handler, ip: str, port: int = 0) -> None:
        self.ip = ip
        self.port = port or find_port(ip)
        self._handle = handle
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[Any]] = set()

    @property
    def address(self) -> str:
        """Return IP:port."""
        return f'{self.ip}:{self.port}'

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, self.ip, self.port, limit=8_000_000
        )

    def crash(self) -> None:
        """Reset all connections and refuse new ones."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        if task is None:
            return
        self._tasks.add(task)
        try:
            with contextlib.suppress(
                OSError, asyncio.IncompleteReadError, asyncio.CancelledError
            ):
                while True:
                    request = await read_message(reader)
                    await self._run(request, reader, writer)
                    await writer.drain()
        finally:
            self._tasks.discard(task)
            # A crash shows as a reset.
            tcp = writer.get_extra_info('socket')
            with contextlib.suppress(OSError, AttributeError):
                tcp.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, b'\1\0\0\0\0\0\0\0'
                )
            writer.transport.abort()

    async def _run(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Handle a request; a client that closes cancels it."""
        running = asyncio.ensure_future(self._handle(request, Response(writer)))
        try:
            while not running.done():
                await asyncio.wait([running], timeout=0.02)
                if reader.at_eof() or writer.is_closing():
                    raise ConnectionResetError
            running.result()
        finally:
            running.cancel()


class Store:
    """The platform's store: objects by kind and name, with watches."""

    def __init__(self, record: Record) -> None:
        self.revision = 1
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.server = Server(self._handle, make_ip())
        self.turned_away: set[str] = set()
        self._record = record
        self._events: list[tuple[int, str, dict[str, Any]]] = []
        self._changed = asyncio.Event()

    async def open_door(self, name: str) -> Server:
        """Listen for one machine, which can be turned away with 503."""

        async def handle(request: Message, response: Response) -> None:
            if name in self.turned_away:
                response.send_json(503, {})
            else:
                await self._handle(request, response)

        server = Server(handle, make_ip())
        await server.start()
        return server

    def put(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        """Write an object, as the operator and the engines do."""
        known = self.objects.get((kind, name))
        if known and known['spec'] == spec:
            return known
        self.revision += 1
        created = known['meta']['create_rev'] if known else self.revision
        stored = {
            'meta': {
                'name': name,
                'rev': self.revision,
                'create_rev': created,
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': None,
        }
        self.objects[(kind, name)] = stored
        self._add_event(kind, stored, is_deleted=False)
        return stored

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        stored = self.objects.pop((kind, name), None)
        if stored is not None:
            self.revision += 1
            self._add_event(kind, stored, is_deleted=True)

    def _add_event(
        self, kind: str, stored: dict[str, Any], *, is_deleted: bool
    ) -> None:
        event = {'object': stored, 'deleted': is_deleted}
        self._events.append((self.revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request: Message, response: Response) -> None:
        path, _, query = request.target.partition('?')
        pairs = (each.partition('=') for each in query.split('&') if each)
        options = {name: text for name, _, text in pairs}
        kind, _, name = path.removeprefix('/v1/objects/').partition('/')
        await asyncio.sleep(0.004)
        if request.method == 'GET' and 'watch' in options:
            await self._watch(kind, options, response)
        elif request.method == 'GET' and name:
            stored = self.objects.get((kind, name))
            response.send_json(200 if stored else 404, stored or {})
        elif request.method == 'GET':
            self._list(kind, response)
        else:
            body = json.loads(request.body) if request.body else {}
            response.send_json(
                *self._change(request.method, kind, name, body, options)
            )

    def _list(self, kind: str, response: Response) -> None:
        listed = [
            stored
            for (each, _name), stored in sorted(self.objects.items())
            if each == kind
        ]
        response.send_json(
            200,
            {'items': listed, 'has_more': False, 'current_rev': self.revision},
        )

    async def _watch(
        self, kind: str, options: dict[str, str], response: Response
    ) -> None:
        until = time.monotonic() + int(options.get('wait_ms', 0)) / 1000
        while True:
            events = [
                event
                for revision, each, event in self._events
                if each == kind and revision > int(options['watch'])
            ]
            remaining_s = until - time.monotonic()
            if events or remaining_s <= 0:
                response.send_json(
                    200, {'events': events, 'current_rev': self.revision}
                )
                return
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), remaining_s)

    def _change(
        self,
        method: str,
        kind: str,
        name: str,
        body: dict[str, Any],
        options: dict[str, str],
    ) -> tuple[int, Any]:
        meta = body.get('meta', {})
        name = name or meta.get('name', '')
        stored = self.objects.get((kind, name))
        if method == 'POST':
            if stored:
                return 409, stored
            return 200, self.put(kind, name, body.get('spec'))
        if stored is None:
            return 404, {}
        expected = meta.get('rev', options.get('rev'))
        if expected is not None and int(expected) != stored['meta']['rev']:
            return 409, stored
        if method == 'DELETE':
            self.delete(kind, name)
            return 200, stored
        return 200, self.put(kind, name, body.get('spec'))


class Model(NamedTuple):
    """Describe a model, as the configuration lists it."""

    name: str
    weights_mb: int = 60_000
    adapters: int = 0
    adapter_mb: int = 66
    load_s: float = 3.8


class Engine:
    """A model engine or a plain service; each start is a new incarnation."""

    def __init__(
        self,
        name: str,
        service: str,
        store: Store,
        record: Record,
        *,
        models: tuple[Model, ...] = (),
        known: tuple[Model, ...] = (),
        capacity_mb: int = 200_000,
        adapter_slots: int = 8,
        slots: int = 32,
    ) -> None:
        """Hold ``models`` at the first start; ``known`` can be loaded."""
        self.name = name
        self.instance = ''
        self.is_up = False
        self.running = 0
        self.held: dict[str, set[str]] = {}
        self.seq = 0
        self.server = Server(self.handle, make_ip())
        self.overloads: list[str] = []
        self.orders: list[tuple[float, str, int]] = []
        self.lost: list[str] = []
        self._service = service
        self._store = store
        self._record = record
        self._initial = models
        self._known = {each.name: each for each in (*models, *known)}
        self._capacity_mb = capacity_mb
        self._adapter_slots = adapter_slots
        self._slots = slots
        self._starts = 0
        self._born = 0
        self._is_busy = False
        self._tasks: set[asyncio.Task[Any]] = set()
        self._on_run: Callable[..., Awaitable[None]] = run_stream

    def run_with(self, on_run: Callable[..., Awaitable[None]]) -> 'Engine':
        """Set what a request does."""
        self._on_run = on_run
        return self

    async def start(self) -> None:
        """Start a new incarnation; only the first one holds models."""
        self._starts += 1
        self.instance = f'i-{self.name}-{self._starts}'
        self._born = int(time.time() * 1000)
        is_first = self._starts == 1
        self.held = {each.name: set() for each in self._initial if is_first}
        self.seq = 0
        self._is_busy = False
        self.running = 0
        await self.server.start()
        self.is_up = True
        self._spawn(self._beat(self.instance))

    def crash(self, reason: str) -> None:
        """Stop at once, without notice."""
        if not self.is_up:
            return
        self._record.note(f'{self.instance} crashes: {reason}')
        self.is_up = False
        self.server.crash()
        self._spawn(self._forget(self.instance))

    def crash_soon(self, reason: str, restart_s: float) -> None:
        """Crash, and be back empty after some seconds."""
        self.crash(reason)
        self._spawn(self._restart(restart_s))

    def used_mb(self) -> int:
        """Return the memory that models and adapters use."""
        return sum(
            self._known[name].weights_mb
            + len(adapters) * self._known[name].adapter_mb
            for name, adapters in self.held.items()
        )

    async def handle(self, request: Message, response: Response) -> None:
        """Handle one request of the system."""
        expected = request.headers.get('x-cassiarail-expect-instance')
        identity = {'X-Cassiarail-Instance-Id': self.instance}
        if expected not in {None, self.instance}:
            response.send(421, identity)
        elif request.target == '/v1/report':
            response.send_json(200, self._describe())
        elif request.target == '/v1/order':
            self._order(json.loads(request.body), response)
        elif not self._holds(request.headers.get('x-cassiarail-model')):
            response.send(421, {**identity, 'X-Cassiarail-Not-Run': '1'})
        elif self.running >= self._slots:
            response.send(503, {'X-Cassiarail-Not-Run': '1'})
        else:
            await self._execute(request, response)

    async def _execute(self, request: Message, response: Response) -> None:
        request_id = request.headers['x-cassiarail-request-id']
        self._record.note(f'{self.instance} runs {request_id}')
        self.running += 1
        instance = self.instance
        try:
            await self._on_run(self, request, response)
        except asyncio.CancelledError:
            if self.instance != instance or not self.is_up:
                self.lost.append(request_id)
            self._record.note(f'{instance} drops {request_id}')
            raise
        finally:
            self.running -= 1
        self._record.note(f'{instance} has answered {request_id}')

    def stamp(self, request: Message) -> Headers:
        """Return the headers of a successful response."""
        request_id = request.headers['x-cassiarail-request-id']
        return {
            'X-Cassiarail-Request-Id': request_id,
            'X-Cassiarail-Server-Stamp': f'{self.instance}.{request_id}',
            'X-Cassiarail-Server-Load': f'{self.running},0,{self._slots}',
        }

    def _holds(self, wanted: str | None) -> bool:
        if wanted is None:
            return True
        model, _, adapter = wanted.partition('/')
        held = self.held.get(model)
        return held is not None and (not adapter or adapter in held)

    def _describe(self) -> dict[str, Any]:
        return {
            'stage': 'both',
            'models': [
                {'name': name, 'version': 1, 'adapters': sorted(adapters)}
                for name, adapters in self.held.items()
            ],
            'busy': self._is_busy,
            'seq': self.seq,
            'born': self._born,
            'waiting': 0,
            'running': self.running,
            'kv_used': 0,
            'kv_total': 101_597,
            'handles': 0,
        }

    def _order(self, order: dict[str, Any], response: Response) -> None:
        model, adapter = order['model'], order.get('adapter', '')
        is_load = order['op'] == 'load'
        self.orders.append((time.monotonic(), order['holder'], order['fence']))
        text = f'{order["op"]} {model} {adapter}'.strip()
        if order.get('expected') not in {None, self.seq} or self._is_busy:
            response.send_json(409, {})
            return
        is_held = self._holds(f'{model}/{adapter}' if adapter else model)
        if is_held == is_load:
            response.send_json(200, {})
            return
        if model not in self._known or (adapter and model not in self.held):
            response.send_json(400, {})
            return
        self.seq += 1
        response.send_json(202, {})
        self._record.note(
            f'{self.instance} accepts {text} of {order["holder"]}'
            f' with fence {order["fence"]}'
        )
        self._spawn(self._carry_out(model, adapter, is_load=is_load))

    async def _carry_out(
        self, model: str, adapter: str, *, is_load: bool
    ) -> None:
        instance = self.instance
        facts = self._known[model]
        added_mb = facts.adapter_mb if adapter else facts.weights_mb
        places = sum(map(len, self.held.values())) + bool(adapter)
        if is_load and (
            self.used_mb() + added_mb > self._capacity_mb
            or places > self._adapter_slots
        ):
            text = (
                f'ordered to load {model} {adapter}: {self.used_mb()} MB are'
                f' used, {added_mb} MB more are wanted, {self._capacity_mb} MB'
                f' are there; {places} of {self._adapter_slots} places'
            )
            self.overloads.append(text)
            await asyncio.sleep(0.01)
            self.crash_soon(text, 3)
            return
        if adapter:
            await asyncio.sleep(0.008 if is_load else 0)
            if instance == self.instance:
                change = set.add if is_load else set.discard
                change(self.held[model], adapter)
            return
        self._is_busy = True
        await asyncio.sleep(facts.load_s if is_load else 0.1)
        if instance == self.instance and self.is_up:
            self._is_busy = False
            if is_load:
                self.held[model] = set()
            else:
                self.held.pop(model, None)

    async def _beat(self, instance: str) -> None:
        while self.is_up and self.instance == instance:
            report = self._describe()
            self._store.put(
                'servers',
                instance,
                {
                    'service': self._service,
                    'addr': self.server.address,
                    'zone': 'bex',
                    'version': 'v1',
                    'slots': self._slots,
                    'state': 'ready',
                    'cold_left_ms': 0,
                    'stage': 'both',
                    'models': report['models'],
                    'born': self._born,
                    'seq': self.seq,
                },
            )
            await asyncio.sleep(1.2)

    async def _forget(self, instance: str) -> None:
        """Remove the entry after three missed beats."""
        await asyncio.sleep(3.6)
        self._store.delete('servers', instance)

    async def _restart(self, after_s: float) -> None:
        await asyncio.sleep(after_s)
        await self.start()

    def _spawn(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def make_event(request_id: str, number: int) -> bytes:
    """Return one event of a stream."""
    return f'id: {number}\ndata: piece {number}\n\n'.encode()


async def run_stream(
    engine: Engine,
    request: Message,
    response: Response,
    events: int = 10,
    pause_s: float = 0.03,
) -> None:
    """Stream events, from the one after ``Last-Event-Id``."""
    first = int(request.headers.get('last-event-id', 0)) + 1
    headers = {'Content-Type': 'text/event-stream', **engine.stamp(request)}
    response.begin_chunks(headers)
    for number in range(first, events + 1):
        await asyncio.sleep(pause_s)
        response.send_chunk(make_event('', number))
    response.send_chunk(b'')


async def run_plain(
    engine: Engine, request: Message, response: Response, work_s: float = 0.09
) -> None:
    """Answer after some work."""
    await asyncio.sleep(work_s)
    response.send(200, engine.stamp(request), b'x' * 800)


def make_route(
    name: str, service: str, kind: str, **changes: Any
) -> dict[str, Any]:
    """Return a route of the configuration, below the path /NAME/."""
    return {
        'name': f'r-{name}',
        'host': 'review.example',
        'path_prefix': f'/{name}/',
        'kind': kind,
        'timeout_ms': 12_000,
        'goal_ms': 500,
        'priority': 1,
        'service': service,
        'attempts': 1,
        'sticky': kind == 'stream',
        'can_resume': False,
        'gap_aim_ms': 150,
        **changes,
    }


def make_service(
    name: str,
    models: tuple[Model, ...] = (),
    *,
    adapter_slots: int = 8,
    slots: int = 32,
) -> dict[str, Any]:
    """Return a service of the configuration."""
    service: dict[str, Any] = {
        'name': name,
        'health_path': '/healthz',
        'max_conns': 230,
        'proto': 'h1',
        'tls': False,
    }
    if models:
        service['engine'] = {
            'slots': slots,
            'kv_tokens': 101_597,
            'models': [
                {**each._asdict(), 'warm_s': 0.6, 'disk_s': 0.78}
                for each in models
            ],
            'weights_mb': 200_000.0,
            'adapter_slots': adapter_slots,
            'loads_per_s': 1.9,
        }
    return service


def make_configuration(
    version: int, routes: list[Any], services: list[Any]
) -> dict[str, Any]:
    """Return a configuration as the operator writes it."""
    return {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': {
            'max_header_bytes': 16_384,
            'max_body_bytes': 4_194_304,
            'header_timeout_ms': 3000,
            'idle_ms': 15_000,
        },
    }


class Reply(NamedTuple):
    """Hold how a request ended for its client.

    ``status`` is 0 if no head came. ``ending`` is ``whole``, ``cut`` or
    ``silent``, if the client left because nothing more came.
    """

    status: int
    headers: Headers
    body: bytes
    ending: str
    head_at: float
    ended_at: float


class Client:
    """Send requests to a process, each on a new connection."""

    def __init__(self, record: Record, node: 'Node') -> None:
        self._record = record
        self._node = node

    async def call(
        self,
        method: str,
        path: str,
        headers: Headers,
        body: bytes = b'',
        *,
        deadline_s: float = 12,
        gap_s: float | None = None,
    ) -> Reply:
        """Send one request and read its response.

        The client leaves at its deadline, or after a gap of ``gap_s``.
        """
        request_id = f'{_run_id:08x}{next(_ids):08x}'
        sent = {
            'Host': 'review.example',
            'X-Cassiarail-Request-Id': request_id,
            'X-Cassiarail-Deadline-Ms': str(int(deadline_s * 1000)),
            **headers,
        }
        if body:
            sent['Content-Length'] = str(len(body))
        self._record.note(f'client sends {request_id} {method} {path}')
        reply = await self._exchange(
            encode(f'{method} {path} HTTP/1.1', sent, body), deadline_s, gap_s
        )
        self._record.note(
            f'client of {request_id} sees {reply.status or "no head"},'
            f' {len(reply.body)} bytes, {reply.ending};'
            f' request id {reply.headers.get("x-cassiarail-request-id")}'
        )
        return reply

    async def _exchange(
        self, raw: bytes, deadline_s: float, gap_s: float | None
    ) -> Reply:
        until = time.monotonic() + deadline_s
        received = b''
        head: tuple[str, Headers] | None = None
        head_at = float('inf')
        ending = 'cut'
        writer = None
        try:
            reader, writer = await asyncio.open_connection(*self._node.front)
            writer.write(raw)
            while True:
                left_s = until - time.monotonic()
                if gap_s is not None:
                    left_s = min(left_s, gap_s)
                chunk = await asyncio.wait_for(
                    reader.read(65_536), max(0, left_s)
                )
                received += chunk
                if head is None and b'\r\n\r\n' in received:
                    head = parse_head(received)
                    head_at = time.monotonic()
                if not chunk:
                    break
                if head and _is_whole(head[1], received):
                    ending = 'whole'
                    break
        except TimeoutError:
            ending = 'silent'
        except OSError:
            ending = 'cut'
        if writer is not None:
            writer.transport.abort()
        ended_at = time.monotonic()
        if head is None:
            return Reply(0, {}, b'', ending, head_at, ended_at)
        status = int(head[0].split(' ')[1])
        body = received.partition(b'\r\n\r\n')[2]
        return Reply(status, head[1], body, ending, head_at, ended_at)


def parse_head(received: bytes) -> tuple[str, Headers]:
    """Return the start line and the headers of a received message."""
    start, *lines = (
        received.partition(b'\r\n\r\n')[0].decode('latin-1').split('\r\n')
    )
    pairs = (line.partition(':') for line in lines)
    return start, {name.lower(): text.strip() for name, _, text in pairs}


def _is_whole(headers: Headers, received: bytes) -> bool:
    body = received.partition(b'\r\n\r\n')[2]
    if 'chunked' in headers.get('transfer-encoding', ''):
        return body.endswith(b'0\r\n\r\n')
    return len(body) >= int(headers.get('content-length', 0))


class Node:
    """One process of the system, started with the command of the deploy file.

    Its settings come from the template of the deploy file.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        store: Store,
        record: Record,
        door: Server | None = None,
    ) -> None:
        """Reach the store at ``door``, or where all others do."""
        self._door = door or store.server
        self.name = name
        self.ip = make_ip()
        self.front = (self.ip, find_port(self.ip))
        self.ready = (self.ip, find_port(self.ip))
        self.process: asyncio.subprocess.Process | None = None
        self._zone = zone
        self._record = record
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self._peers_port = find_port(self.ip)

    @property
    def log(self) -> pathlib.Path:
        """Return the file with the output of the process."""
        return self._folder / 'log.txt'

    def read_log(self) -> str:
        """Return the output of the process."""
        return self.log.read_text() if self.log.exists() else ''

    async def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = deploy['roles']['edge']
        path = self._folder / 'settings.json'
        path.write_text(self._render((ROOT / role['template']).read_text()))
        words = role['run'].split()
        with self.log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *words,
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={
                    'PATH': os.environ['PATH'],
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    'CASSIARAIL_SETTINGS': str(path),
                },
            )
        self._record.note(f'{self.name} is started')

    def change_settings(self, *, retry_slack: int) -> None:
        """Change the settings file, as the platform does."""
        path = self._folder / 'settings.json'
        settings = json.loads(path.read_text())
        settings['bounds']['retry_slack'] = retry_slack
        path.write_text(json.dumps(settings))
        self._record.note(f'the settings of {self.name} change')

    async def wait_ready(self, within_s: float = 20) -> None:
        """Wait until the process says that it is ready."""
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            if await self.is_ready():
                self._record.note(f'{self.name} is ready')
                return
            await asyncio.sleep(0.1)
        raise SetupError(f'{self.name} is not ready: {self.read_log()[-2000:]}')

    async def is_ready(self) -> bool:
        """Ask as the platform does."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(*self.ready)
            writer.write(
                encode('GET /v1/readyz HTTP/1.1', {'Host': self.ready[0]})
            )
            start, _headers = await read_head(reader)
            writer.close()
            return ' 200 ' in f'{start} '
        return False

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self._record.note(f'{self.name} gets signal {number}')
            self.process.send_signal(number)

    async def end(self, within_s: float = 2) -> None:
        """End the process."""
        process = self.process
        if process is None or process.returncode is not None:
            return
        process.send_signal(signal.SIGCONT)
        process.kill()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(process.wait(), within_s)

    def _render(self, template: str) -> str:
        fields = {
            'node': self.name,
            'zone': self._zone,
            'ip': self.ip,
            'listen.front': ':'.join(map(str, self.front)),
            'listen.ready': ':'.join(map(str, self.ready)),
            'port_range.0': self._peers_port,
            'platform.addr': self._door.address,
            'beat_ms': 1200,
            'bounds.lease_ms': 3000,
            'bounds.ceiling_window_s': 5,
            'bounds.retry_ratio': 0.2,
            'bounds.retry_slack': 52,
            'bounds.retry_window_s': 10,
            'bounds.grace_s': 8,
            'limits.link_mbps': 1000.0,
        }

        def fill(found: re.Match[str]) -> str:
            name, _, form = found.group(1).partition('|')
            value = fields[name]
            return json.dumps(value) if form == 'json' else str(value)

        return re.sub(r'\{\{([^}]+)\}\}', fill, template)


class SetupError(Exception):
    """Report a case that could not run."""


def run_case(
    folder: pathlib.Path, case: Callable[[Record], Awaitable[int]]
) -> None:
    """Run a case and exit with its result."""
    record = Record(folder)
    record.note(f'trouble: {HAS_TROUBLE}')
    try:
        result = asyncio.run(_run_limited(case, record))
    except (SetupError, OSError, TimeoutError) as error:
        record.note(f'the case could not run: {error!r}')
        result = NOT_RUN
    words = {BROKEN: 'the rule was broken', HELD: 'the rule held'}
    record.note(words.get(result, 'the case could not run'))
    sys.exit(result)


async def _run_limited(
    case: Callable[[Record], Awaitable[int]], record: Record
) -> int:
    return await asyncio.wait_for(case(record), 110)


@contextlib.contextmanager
def ignore_lost_tasks() -> Iterator[None]:
    """Suppress the errors of connections that a crash has reset."""
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        yield
