"""Stand in for the object API (docs/design.md, section 4.4)."""

import collections
from typing import Any, NamedTuple

import anyio
import msgspec
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route, Router

from cassiarail.core.clock import Clock
from cassiarail.standins import answers
from cassiarail.standins.faults import FaultName, Faults
from cassiarail.standins.object_table import ObjectTable, TableEntry

VALUE_BYTES_MAX = 1_000_000
CLIENT_HEADER = 'x-client'
_WATCH_S_MAX = 60
_READ = 'read'
_WRITE = 'write'
_WATCH = 'watch'


class CallKey(NamedTuple):
    """Name what calls are counted by."""

    client: str
    verb: str
    kind: str


class ObjectApi:
    """Serve versioned objects with conditional writes and watches."""

    def __init__(
        self,
        clock: Clock,
        faults: Faults,
        answer_s: float = 0.003,
    ) -> None:
        """Take the usual time of an answer in seconds."""
        self._clock = clock
        self._faults = faults
        self._answer_s = answer_s
        self.table = ObjectTable()
        self.calls: collections.Counter[CallKey] = collections.Counter()
        self.application = Router(
            routes=[
                Route('/objects/{kind}', self._list, methods=['GET']),
                Route(
                    '/objects/{kind}/{name:path}', self._read, methods=['GET']
                ),
                Route(
                    '/objects/{kind}/{name:path}', self._write, methods=['PUT']
                ),
                Route(
                    '/objects/{kind}/{name:path}',
                    self._delete,
                    methods=['DELETE'],
                ),
                Route('/watch/{kind}', self._watch, methods=['GET']),
            ],
        )

    def count_calls(self, kind: str = '') -> int:
        """Return the number of calls, of one kind or of all."""
        return sum(
            count
            for key, count in self.calls.items()
            if not kind or key.kind == kind
        )

    async def _enter(self, request: Request, verb: str) -> Response | None:
        """Count a call; return the answer if the store is unavailable."""
        peer = request.client.host if request.client else ''
        client = request.headers.get(CLIENT_HEADER, peer)
        kind = request.path_params['kind']
        self.calls[CallKey(client, verb, kind)] += 1
        if self._faults.draw(FaultName.STORE_OUTAGE, verb):
            return answers.answer_json(
                {'error': {'code': 'unavailable'}},
                answers.STATUS_UNAVAILABLE,
            )
        delay_s = self._faults.delay_of(FaultName.SLOW_STORE, verb)
        await self._clock.sleep(self._answer_s + delay_s)
        return None

    def _leave(self) -> None:
        """Lose the answer of a write that took effect, if the fault is on."""
        if self._faults.draw(FaultName.STORE_ANSWER_LOST, _WRITE):
            raise answers.BrokenConnectionError('answer lost')

    async def _read(self, request: Request) -> Response:
        refusal = await self._enter(request, _READ)
        if refusal is not None:
            return refusal
        kind = request.path_params['kind']
        entry = self.table.find(kind, request.path_params['name'])
        if entry is None:
            return _answer_missing()
        return answers.answer_json(_describe(kind, entry))

    async def _list(self, request: Request) -> Response:
        refusal = await self._enter(request, _READ)
        if refusal is not None:
            return refusal
        kind = request.path_params['kind']
        prefix = request.query_params.get('prefix', '')
        entries = self.table.of_kind(kind).entries
        return answers.answer_json(
            {
                'revision': self.table.revision,
                'objects': [
                    _describe(kind, entry)
                    for name, entry in sorted(entries.items())
                    if name.startswith(prefix)
                ],
            },
        )

    async def _write(self, request: Request) -> Response:
        refusal = await self._enter(request, _WRITE)
        if refusal is not None:
            return refusal
        body = await request.body()
        if len(body) > VALUE_BYTES_MAX:
            return answers.refuse('too_large', answers.STATUS_TOO_LARGE)
        try:
            document = msgspec.json.decode(body)
        except msgspec.DecodeError:
            return answers.refuse('bad_request', answers.STATUS_BAD_REQUEST)
        conflict = self._find_conflict(request)
        if conflict is not None:
            return conflict
        entry = self.table.write(
            request.path_params['kind'],
            request.path_params['name'],
            document,
        )
        self._leave()
        return answers.answer_json({'version': entry.version})

    async def _delete(self, request: Request) -> Response:
        refusal = await self._enter(request, _WRITE)
        if refusal is not None:
            return refusal
        kind = request.path_params['kind']
        name = request.path_params['name']
        if self.table.find(kind, name) is None:
            return _answer_missing()
        conflict = self._find_conflict(request)
        if conflict is not None:
            return conflict
        self.table.delete(kind, name)
        self._leave()
        return answers.answer_json({})

    def _find_conflict(self, request: Request) -> Response | None:
        kind = request.path_params['kind']
        entry = self.table.find(kind, request.path_params['name'])
        wanted = request.headers.get('if-match')
        absent = request.headers.get('if-none-match') == '*'
        if wanted is None and not absent:
            return answers.refuse(
                'condition_required', answers.STATUS_BAD_REQUEST
            )
        version = '' if entry is None else str(entry.version)
        if version == (wanted or '').strip('"'):
            return None
        current = None if entry is None else _describe(kind, entry)
        return answers.answer_json(current, answers.STATUS_PRECONDITION)

    async def _watch(self, request: Request) -> Response:
        refusal = await self._enter(request, _WATCH)
        if refusal is not None:
            return refusal
        after = int(request.query_params.get('after', '0'))
        kind = request.path_params['kind']
        table = self.table.of_kind(kind)
        if after < table.oldest_revision:
            return answers.refuse('revision_too_old', answers.STATUS_GONE)
        timeout_s = float(request.query_params.get('timeout', '30'))
        with anyio.move_on_after(min(timeout_s, _WATCH_S_MAX)):
            prefix = request.query_params.get('prefix', '')
            while not table.list_changes(after, prefix):
                await table.changed.wait()
        return self._answer_watch(request, kind, after)

    def _answer_watch(
        self,
        request: Request,
        kind: str,
        after: int,
    ) -> Response:
        if self._faults.draw(FaultName.STORE_OUTAGE, _WATCH):
            raise answers.BrokenConnectionError('store outage')
        prefix = request.query_params.get('prefix', '')
        changes = self.table.of_kind(kind).list_changes(after, prefix)
        present = [
            _describe(kind, change.entry)
            for change in changes
            if change.entry is not None
        ]
        deleted = [change.name for change in changes if change.entry is None]
        return answers.answer_json(
            {
                'revision': self.table.revision,
                'objects': present,
                'deleted': deleted,
            },
        )


def _describe(kind: str, entry: TableEntry) -> dict[str, Any]:
    return {
        'kind': kind,
        'name': entry.name,
        'version': entry.version,
        'value': entry.document,
    }


def _answer_missing() -> Response:
    return answers.answer_json(
        {'error': {'code': 'not_found'}},
        answers.STATUS_NOT_FOUND,
    )
