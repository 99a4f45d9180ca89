"""Simulate the platform's store, with faults."""

import asyncio
import json
import random

from tests.soak.http_server import Abort, HttpServer

_HISTORY_LENGTH = 400
_LATE_DELAY_S = 2.0


class Store:
    """Store objects by kind and name; watches wait for changes."""

    def __init__(self, seed):
        self.fault = ''
        self.revision = 1
        self.server = HttpServer(self._handle)
        self._objects = {}
        self._history = []
        self._oldest_revision = 1
        self._changed = asyncio.Event()
        self._generator = random.Random(seed)
        self._late_tasks = set()

    def put(self, kind, name, spec):
        """Write an object, as the operator and the engines do."""
        existing = self._objects.get((kind, name))
        if existing and existing['spec'] == spec:
            return
        self._write(kind, name, spec)

    def delete(self, kind, name):
        """Remove an object."""
        stored = self._objects.pop((kind, name), None)
        if stored is not None:
            self.revision += 1
            self._record_event(kind, stored, deleted=True)

    def compact(self):
        """Discard the history and end the watches."""
        self._history.clear()
        self._oldest_revision = self.revision
        self._notify_watches()

    def _write(self, kind, name, spec):
        existing = self._objects.get((kind, name))
        self.revision += 1
        created = existing['meta']['create_rev'] if existing else self.revision
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
        self._objects[(kind, name)] = stored
        self._record_event(kind, stored, deleted=False)
        return stored

    def _record_event(self, kind, stored, *, deleted):
        event = {'object': stored, 'deleted': deleted}
        self._history.append((self.revision, kind, event))
        if len(self._history) > _HISTORY_LENGTH:
            self._oldest_revision = self._history.pop(0)[0]
        self._notify_watches()

    def _notify_watches(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request, response):
        if self.fault == 'busy':
            await response.respond_json(503, {})
            return
        if self.fault == 'slow':
            await asyncio.sleep(0.2)
        kind, _, name = request.path.removeprefix('/v1/objects/').partition('/')
        if 'watch' in request.query:
            await self._watch(kind, request, response)
        elif request.method == 'GET':
            await self._read(kind, name, response)
        else:
            await self._change(kind, name, request, response)

    async def _read(self, kind, name, response):
        if not name:
            items = [
                stored
                for (stored_kind, _name), stored in sorted(
                    self._objects.items()
                )
                if stored_kind == kind
            ]
            await response.respond_json(
                200,
                {
                    'items': items,
                    'has_more': False,
                    'current_rev': self.revision,
                },
            )
            return
        stored = self._objects.get((kind, name))
        await response.respond_json(200 if stored else 404, stored or {})

    async def _watch(self, kind, request, response):
        after_revision = int(request.query['watch'])
        loop = asyncio.get_running_loop()
        deadline = loop.time() + int(request.query.get('wait_ms', 0)) / 1000
        while True:
            if after_revision < self._oldest_revision - 1:
                await response.respond_json(410, {})
                return
            events = [
                event
                for revision, event_kind, event in self._history
                if event_kind == kind and revision > after_revision
            ]
            remaining_s = deadline - loop.time()
            if events or remaining_s <= 0:
                await response.respond_json(
                    200, {'events': events, 'current_rev': self.revision}
                )
                return
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), remaining_s)
            except TimeoutError:
                continue

    async def _change(self, kind, name, request, response):
        body = json.loads(request.body) if request.body else {}
        if self.fault == 'lost' and self._generator.random() < 0.4:
            # The change is applied now or late; the response is never sent.
            if self._generator.random() < 0.5:
                self._apply(kind, name, request, body)
            else:
                task = asyncio.ensure_future(
                    self._apply_late(kind, name, request, body)
                )
                self._late_tasks.add(task)
                task.add_done_callback(self._late_tasks.discard)
            raise Abort
        status, stored = self._apply(kind, name, request, body)
        await response.respond_json(status, stored)

    async def _apply_late(self, kind, name, request, body):
        await asyncio.sleep(_LATE_DELAY_S)
        self._apply(kind, name, request, body)

    def _apply(self, kind, name, request, body):
        meta = body.get('meta', {})
        name = name or meta.get('name', '')
        stored = self._objects.get((kind, name))
        if request.method == 'POST':
            if stored:
                return 409, stored
            return 200, self._write(kind, name, body.get('spec'))
        if not stored:
            return 404, {}
        expected = meta.get('rev', request.query.get('rev'))
        if expected is not None and int(expected) != stored['meta']['rev']:
            return 409, stored
        if request.method == 'DELETE':
            self.delete(kind, name)
            return 200, stored
        if stored['spec'] == body.get('spec'):
            return 200, stored
        return 200, self._write(kind, name, body.get('spec'))
