"""Stand in for the platform's store, with faults."""

import asyncio
import json
import random

from tests.soak.wire import Abort, HttpServer

_HISTORY = 400
_LATE_S = 2.0


class Store:
    """Keep objects by kind and name; watches wait for changes."""

    def __init__(self, seed):
        self.fault = ''
        self.revision = 1
        self.server = HttpServer(self._handle)
        self._objects = {}
        self._history = []
        self._oldest = 1
        self._changed = asyncio.Event()
        self._generator = random.Random(seed)
        self._late = set()

    def put(self, kind, name, spec):
        """Write an object, as the operator and the engines do."""
        known = self._objects.get((kind, name))
        if known and known['spec'] == spec:
            return
        self._write(kind, name, spec)

    def delete(self, kind, name):
        """Remove an object."""
        found = self._objects.pop((kind, name), None)
        if found is not None:
            self.revision += 1
            self._note(kind, found, deleted=True)

    def compact(self):
        """Forget the history and cut the watches."""
        self._history.clear()
        self._oldest = self.revision
        self._wake()

    def _write(self, kind, name, spec):
        known = self._objects.get((kind, name))
        self.revision += 1
        created = known['meta']['create_rev'] if known else self.revision
        found = {
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
        self._objects[(kind, name)] = found
        self._note(kind, found, deleted=False)
        return found

    def _note(self, kind, found, *, deleted):
        event = {'object': found, 'deleted': deleted}
        self._history.append((self.revision, kind, event))
        if len(self._history) > _HISTORY:
            self._oldest = self._history.pop(0)[0]
        self._wake()

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request, response):
        if self.fault == 'busy':
            await response.answer_json(503, {})
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
                found
                for (each, _name), found in sorted(self._objects.items())
                if each == kind
            ]
            await response.answer_json(
                200,
                {
                    'items': items,
                    'has_more': False,
                    'current_rev': self.revision,
                },
            )
            return
        found = self._objects.get((kind, name))
        await response.answer_json(200 if found else 404, found or {})

    async def _watch(self, kind, request, response):
        after = int(request.query['watch'])
        loop = asyncio.get_running_loop()
        until = loop.time() + int(request.query.get('wait_ms', 0)) / 1000
        while True:
            if after < self._oldest - 1:
                await response.answer_json(410, {})
                return
            events = [
                event
                for revision, each, event in self._history
                if each == kind and revision > after
            ]
            left_s = until - loop.time()
            if events or left_s <= 0:
                await response.answer_json(
                    200, {'events': events, 'current_rev': self.revision}
                )
                return
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue

    async def _change(self, kind, name, request, response):
        body = json.loads(request.body) if request.body else {}
        if self.fault == 'lost' and self._generator.random() < 0.4:
            # Done now or late; the answer never comes.
            if self._generator.random() < 0.5:
                self._apply(kind, name, request, body)
            else:
                work = asyncio.ensure_future(
                    self._apply_late(kind, name, request, body)
                )
                self._late.add(work)
                work.add_done_callback(self._late.discard)
            raise Abort
        status, found = self._apply(kind, name, request, body)
        await response.answer_json(status, found)

    async def _apply_late(self, kind, name, request, body):
        await asyncio.sleep(_LATE_S)
        self._apply(kind, name, request, body)

    def _apply(self, kind, name, request, body):
        meta = body.get('meta', {})
        name = name or meta.get('name', '')
        found = self._objects.get((kind, name))
        if request.method == 'POST':
            if found:
                return 409, found
            return 200, self._write(kind, name, body.get('spec'))
        if not found:
            return 404, {}
        expected = meta.get('rev', request.query.get('rev'))
        if expected is not None and int(expected) != found['meta']['rev']:
            return 409, found
        if request.method == 'DELETE':
            self.delete(kind, name)
            return 200, found
        if found['spec'] == body.get('spec'):
            return 200, found
        return 200, self._write(kind, name, body.get('spec'))
