"""Simulate the object API (docs/design.md, section 4.4)."""

import collections
import functools
from typing import Any, NamedTuple

import anyio
import msgspec
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route, Router
from starlette.types import Message, Receive, Scope, Send

from cassiarail.core.clock import Clock
from cassiarail.standins import responses
from cassiarail.standins.faults import ActiveFaults, FaultName
from cassiarail.standins.object_table import (
    ObjectTable,
    TableCopy,
    TableEntry,
)

VALUE_BYTES_MAX = 1_000_000
CLIENT_HEADER = 'x-client'
ERA_HEADER = b'store-era'
_WATCH_S_MAX = 60
_READ = 'read'
_WRITE = 'write'
_WATCH = 'watch'


class CallKey(NamedTuple):
    """Hold the labels by which calls are counted."""

    client: str
    verb: str
    kind: str


class ObjectApi:
    """Serve versioned objects with conditional writes and watches."""

    def __init__(
        self,
        clock: Clock,
        faults: ActiveFaults,
        response_s: float = 0.003,
    ) -> None:
        """Create the API; ``response_s`` is the usual response time."""
        self._clock = clock
        self._faults = faults
        self._response_s = response_s
        self.table = ObjectTable()
        self.calls: collections.Counter[CallKey] = collections.Counter()
        self._copy: TableCopy | None = None
        self._router = Router(
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

    async def application(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serve a call; its answer names the era."""
        await self._router(
            scope, receive, functools.partial(self._send_with_era, send)
        )

    def take_copy(self) -> None:
        """Take the copy from which the store will come back."""
        self._copy = self.table.take_copy()

    def come_back(self) -> None:
        """Come back from the last copy, if there is one, in the next era."""
        if self._copy is not None:
            self.table.come_back(self._copy)
            self._copy = None

    def count_calls(self, kind: str = '') -> int:
        """Return the number of calls, of one kind or of all."""
        return sum(
            count
            for key, count in self.calls.items()
            if not kind or key.kind == kind
        )

    async def _send_with_era(self, send: Send, message: Message) -> None:
        if message['type'] == 'http.response.start':
            era = (ERA_HEADER, str(self.table.era).encode())
            message['headers'] = [*message.get('headers', ()), era]
        await send(message)

    async def _start_call(self, request: Request, verb: str) -> Response | None:
        """Count and delay a call; return an error response during an outage."""
        peer = request.client.host if request.client else ''
        client = request.headers.get(CLIENT_HEADER, peer)
        kind = request.path_params['kind']
        self.calls[CallKey(client, verb, kind)] += 1
        if self._faults.should_trigger(FaultName.STORE_OUTAGE, verb):
            return responses.build_json_response(
                {'error': {'code': 'unavailable'}},
                responses.STATUS_UNAVAILABLE,
            )
        delay_s = self._faults.get_delay_s(FaultName.SLOW_STORE, verb)
        await self._clock.sleep(self._response_s + delay_s)
        return None

    def _inject_response_loss(self) -> None:
        """Lose the response of a completed write if the fault is on."""
        if self._faults.should_trigger(FaultName.STORE_ANSWER_LOST, _WRITE):
            raise responses.BrokenConnectionError('response lost')

    async def _read(self, request: Request) -> Response:
        refusal = await self._start_call(request, _READ)
        if refusal is not None:
            return refusal
        kind = request.path_params['kind']
        entry = self.table.find(kind, request.path_params['name'])
        if entry is None:
            return _build_not_found()
        return responses.build_json_response(_describe(kind, entry))

    async def _list(self, request: Request) -> Response:
        refusal = await self._start_call(request, _READ)
        if refusal is not None:
            return refusal
        kind = request.path_params['kind']
        prefix = request.query_params.get('prefix', '')
        entries = self.table.get_kind_table(kind).entries
        return responses.build_json_response(
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
        refusal = await self._start_call(request, _WRITE)
        if refusal is not None:
            return refusal
        body = await request.body()
        if len(body) > VALUE_BYTES_MAX:
            return responses.build_refusal(
                'too_large', responses.STATUS_TOO_LARGE
            )
        try:
            document = msgspec.json.decode(body)
        except msgspec.DecodeError:
            return responses.build_refusal(
                'bad_request', responses.STATUS_BAD_REQUEST
            )
        conflict_response = self._find_conflict(request)
        if conflict_response is not None:
            return conflict_response
        entry = self.table.write(
            request.path_params['kind'],
            request.path_params['name'],
            document,
        )
        self._inject_response_loss()
        return responses.build_json_response({'version': entry.version})

    async def _delete(self, request: Request) -> Response:
        refusal = await self._start_call(request, _WRITE)
        if refusal is not None:
            return refusal
        kind = request.path_params['kind']
        name = request.path_params['name']
        if self.table.find(kind, name) is None:
            return _build_not_found()
        conflict_response = self._find_conflict(request)
        if conflict_response is not None:
            return conflict_response
        self.table.delete(kind, name)
        self._inject_response_loss()
        return responses.build_json_response({})

    def _find_conflict(self, request: Request) -> Response | None:
        kind = request.path_params['kind']
        entry = self.table.find(kind, request.path_params['name'])
        expected_version = request.headers.get('if-match')
        must_be_absent = request.headers.get('if-none-match') == '*'
        if expected_version is None and not must_be_absent:
            return responses.build_refusal(
                'condition_required', responses.STATUS_BAD_REQUEST
            )
        version = '' if entry is None else str(entry.version)
        if version == (expected_version or '').strip('"'):
            return None
        current = None if entry is None else _describe(kind, entry)
        return responses.build_json_response(
            current, responses.STATUS_PRECONDITION
        )

    async def _watch(self, request: Request) -> Response:
        refusal = await self._start_call(request, _WATCH)
        if refusal is not None:
            return refusal
        after = int(request.query_params.get('after', '0'))
        kind = request.path_params['kind']
        table = self.table.get_kind_table(kind)
        if not table.oldest_revision <= after <= self.table.revision:
            return responses.build_refusal(
                'revision_too_old', responses.STATUS_GONE
            )
        timeout_s = float(request.query_params.get('timeout', '30'))
        with anyio.move_on_after(min(timeout_s, _WATCH_S_MAX)):
            prefix = request.query_params.get('prefix', '')
            era = self.table.era
            while not table.list_changes(after, prefix):
                await table.changed.wait()
                if self.table.era != era:
                    break
        return self._build_watch_response(request, kind, after)

    def _build_watch_response(
        self,
        request: Request,
        kind: str,
        after: int,
    ) -> Response:
        if self._faults.should_trigger(FaultName.STORE_OUTAGE, _WATCH):
            raise responses.BrokenConnectionError('store outage')
        prefix = request.query_params.get('prefix', '')
        changes = self.table.get_kind_table(kind).list_changes(after, prefix)
        existing = [
            _describe(kind, change.entry)
            for change in changes
            if change.entry is not None
        ]
        deleted = [change.name for change in changes if change.entry is None]
        return responses.build_json_response(
            {
                'revision': self.table.revision,
                'objects': existing,
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


def _build_not_found() -> Response:
    return responses.build_json_response(
        {'error': {'code': 'not_found'}},
        responses.STATUS_NOT_FOUND,
    )
