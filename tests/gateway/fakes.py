"""Provide fake targets and a fake store with injected faults."""

import json

import anyio

from cassiarail.core.exceptions import (
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    VersionConflictError,
)
from cassiarail.store.backends.base import ObjectStore, StoredObject

WORDS = ('Die ', 'Ernte ', 'war ', 'gut ', 'in ', 'Riburg', '.')


class FakeEngine:
    """Stream the same words, by default one per second.

    ``faults`` lists, for each connection in turn, after how many tokens which
    fault occurs: ``(1, 'break')``, ``(1, 'silent')``, ``(0, 'refuse')``,
    ``(2, 'repeat')``, ``(1, 'gap')``, ``(1, 'error')`` or ``(1, 'early')``.
    A cancelled stream ends after ``cancel_s``.
    """

    def __init__(
        self,
        name,
        faults=(),
        words=WORDS,
        retains_streams=True,
        pause_s=1,
        cancel_s=0,
    ):
        self.name = name
        self.address = f'{name}.test:80'
        self.faults = list(faults)
        self.words = words
        self.retains_streams = retains_streams
        self.pause_s = pause_s
        self.cancel_s = cancel_s
        self.cancelled_at = None
        self.started_at = None
        self.requests = []
        self.cancelled = []
        self.headers = []

    async def __call__(self, scope, receive, send):
        method = scope['method']
        self.headers.append(dict(scope['headers']))
        body = (await receive()).get('body', b'')
        self.requests.append((method, scope['path'], body))
        fault = self.faults.pop(0) if self.faults else (len(self.words), None)
        if method == 'DELETE':
            self.cancelled.append(scope['path'])
            await anyio.sleep(self.cancel_s)
            self.cancelled_at = anyio.current_time()
            await _send_response(send, 200, b'{}')
        elif method == 'GET' and not self.retains_streams:
            await _send_response(send, 404, b'{}')
        elif fault[1] == 'refuse':
            error = b'{"error":{"code":"leaving"}}'
            await _send_response(send, 503, error, [(b'x-verdict', b'not-run')])
        else:
            start = _read_start(scope, body)
            await self._stream(send, start, fault)

    async def _stream(self, send, start, fault):
        self.started_at = anyio.current_time()
        headers = [(b'content-type', b'text/event-stream')]
        await send(
            {'type': 'http.response.start', 'status': 200, 'headers': headers},
        )
        for index in range(start, len(self.words)):
            if index - start == fault[0]:
                await self._inject_fault(send, index, fault[1])
                if fault[1] not in {'repeat', 'gap'}:
                    return
            await self._send_token(send, index)
            await anyio.sleep(self.pause_s)
        await _send_block(send, b'data: [DONE]\n\n', more=False)

    async def _inject_fault(self, send, index, kind):
        if kind == 'break':
            raise ConnectionResetError
        if kind == 'silent':
            await anyio.sleep(10_000)
        elif kind == 'repeat':
            await self._send_token(send, index - 1)
        elif kind == 'gap':
            await self._send_token(send, index + 1)
        elif kind == 'error':
            await _send_block(send, b'event: error\ndata: {}\n\n', more=False)
        elif kind == 'early':
            await _send_block(send, b'data: [DONE]\n\n', more=False)

    async def _send_token(self, send, index):
        last = index == len(self.words) - 1
        choice = {
            'index': 0,
            'delta': {'content': self.words[index]},
            'finish_reason': 'stop' if last else None,
        }
        document = json.dumps({'id': 'x', 'model': 'salz', 'choices': [choice]})
        event = f'id: {index}\ndata: {document}\n\n'.encode()
        # Split an event, as TCP may.
        await _send_block(send, event[:9])
        await _send_block(send, event[9:])


class FakeRegister:
    """Record filings, with injected faults before or after recording."""

    def __init__(self, name, faults=()):
        self.name = name
        self.address = f'{name}.test:80'
        self.faults = list(faults)
        self.ran = []
        self.headers = []

    async def __call__(self, scope, receive, send):
        self.headers.append(dict(scope['headers']))
        body = (await receive()).get('body', b'')
        fault = self.faults.pop(0) if self.faults else ''
        if fault == 'refuse':
            error = b'{"error":{"code":"overloaded"}}'
            await _send_response(send, 503, error, [(b'x-verdict', b'not-run')])
            return
        if fault == 'break-before':
            raise ConnectionResetError
        self.ran.append((scope['method'], scope['path'], body))
        self.record_run(dict(scope['headers']))
        if fault == 'break-after':
            raise ConnectionResetError
        if fault == 'hang':
            await anyio.sleep(10_000)
        status = 503 if fault == 'fail' else 201
        await _send_response(send, status, b'{"filed":true}')

    def record_run(self, headers):
        """Allow a subclass to record more details of a run."""


class FakeStore(ObjectStore):
    """Store objects in memory, with injected faults.

    ``faults`` lists one fault per call: ``''``, ``'out'``, ``'slow'``,
    ``'lost'`` (the response is lost after the write), ``'lost-before'``
    (before it) or ``'late'`` (the write is applied by
    ``apply_delayed_writes``, if its condition holds then).
    """

    def __init__(self, faults=()):
        self.objects = {}
        self.faults = list(faults)
        self.delayed_writes = []
        self.is_unavailable = False
        self.calls = 0
        self._version = 0

    def apply_delayed_writes(self):
        """Apply each delayed write once."""
        pending, self.delayed_writes = self.delayed_writes, []
        for name, version, document in pending:
            existing = self.objects.get(name)
            if version == (existing.version if existing else None):
                self._put(*name, document, '')

    async def _pause(self):
        await anyio.lowlevel.checkpoint()
        if self.faults and self.faults[0] == 'slow':
            self.faults.pop(0)
            await anyio.sleep(3)

    def _next_fault(self, *write):
        """Raise the next fault; an unavailable store accepts no write."""
        self.calls += 1
        fault = self.faults.pop(0) if self.faults else ''
        if self.is_unavailable or fault == 'out':
            raise StoreUnavailableError('out')
        if fault == 'late' and write:
            self.delayed_writes.append(write)
        if fault in {'late', 'lost-before'}:
            raise StoreOutcomeUnknownError('lost')
        return fault

    async def read(self, kind, name):
        await self._pause()
        try:
            fault = self._next_fault()
        except StoreOutcomeUnknownError:
            fault = 'lost'
        if fault:
            raise StoreUnavailableError('out')
        return self.objects.get((kind, name))

    async def create(self, kind, name, document):
        await self._pause()
        fault = self._next_fault((kind, name), None, dict(document))
        if (kind, name) in self.objects:
            raise VersionConflictError('exists')
        return self._put(kind, name, document, fault)

    async def replace(self, kind, name, document, version):
        await self._pause()
        fault = self._next_fault((kind, name), version, dict(document))
        existing = self.objects.get((kind, name))
        if existing is None or existing.version != version:
            raise VersionConflictError('changed')
        return self._put(kind, name, document, fault)

    def _put(self, kind, name, document, fault):
        self._version += 1
        stored = StoredObject(kind, name, self._version, dict(document))
        self.objects[(kind, name)] = stored
        if fault == 'lost':
            raise StoreOutcomeUnknownError('lost')
        return self._version

    async def list_objects(self, kind, prefix=''):
        raise NotImplementedError

    async def delete(self, kind, name, version):
        raise NotImplementedError

    async def watch(self, kind, after, timeout_s, prefix=''):
        raise NotImplementedError


def _read_start(scope, body):
    if scope['method'] == 'GET':
        return int(scope['query_string'].split(b'=')[1])
    return json.loads(body).get('resume_after', 0)


async def _send_response(send, status, body, headers=()):
    await send(
        {
            'type': 'http.response.start',
            'status': status,
            'headers': [(b'content-type', b'application/json'), *headers],
        },
    )
    await _send_block(send, body, more=False)


async def _send_block(send, block, more=True):
    await send(
        {'type': 'http.response.body', 'body': block, 'more_body': more},
    )
