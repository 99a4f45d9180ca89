"""Use the platform's store as an object store."""

from collections.abc import Mapping
from typing import Any
from urllib.parse import quote, urlencode

import msgspec

from cassiarail.core.exceptions import (
    ConnectFailedError,
    ConnectionLostError,
    StoreError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    VersionConflictError,
    WatchExpiredError,
)
from cassiarail.http1.calls import ServerResponse, call_server
from cassiarail.http1.messages import RequestHead
from cassiarail.http1.pool import Address, ConnectionPool, PoolRules
from cassiarail.store.backends.base import (
    JsonValue,
    Listing,
    ObjectStore,
    StoredObject,
    WatchBatch,
)
from cassiarail.store.leases import LEASE_KIND, ORDERS_LEASE
from cassiarail.store.monitor import Checkable

_TIMEOUT_S = 1.5
_CONNECT_TIMEOUT_S = 0.7
_CHECK_TIMEOUT_S = 0.8
_WATCH_MARGIN_S = 2.0
_MS = 1000
_OK = 200
_NOT_FOUND = 404
_CONFLICT = 409
_GONE = 410
# Both say that nothing was done.
_REFUSED = frozenset((429, 503))
# A stale read costs a tenth and doesn't count towards the rate.
_STALE = 'allow_stale=1'


class PlatformStore(ObjectStore, Checkable):
    """Read, watch and conditionally write objects of the platform."""

    def __init__(self, address: Address) -> None:
        self.calls = 0
        self._address = address
        self._pool = ConnectionPool(PoolRules(_CONNECT_TIMEOUT_S))

    async def read(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or ``None`` if it doesn't exist."""
        reply = await self._call('GET', _path(kind, name))
        if reply.status == _NOT_FOUND:
            return None
        return _read_object(kind, _decode(reply))

    async def check(self) -> int | None:
        """Read the lease cheaply, perhaps seconds old."""
        path = _path(LEASE_KIND, ORDERS_LEASE)
        reply = await self._call(
            'GET',
            f'{path}?{_STALE}',
            wait_s=_CHECK_TIMEOUT_S,
        )
        if reply.status == _NOT_FOUND:
            return None
        return _read_object(LEASE_KIND, _decode(reply)).version

    async def list_objects(self, kind: str, prefix: str = '') -> Listing:
        """Return all objects of a kind, page by page."""
        found: list[StoredObject] = []
        path = _path(kind)
        while True:
            page = _decode(await self._call('GET', path))
            entries = page['items']
            found.extend(_read_object(kind, each) for each in entries)
            if not (page.get('has_more') and entries):
                break
            after = urlencode({'after': entries[-1]['meta']['name']})
            path = f'{_path(kind)}?{after}'
        return Listing(
            int(page['current_rev']),
            [each for each in found if each.name.startswith(prefix)],
        )

    async def create(self, kind: str, name: str, document: JsonValue) -> int:
        """Create an object and return its revision."""
        body = {'meta': {'name': name}, 'spec': document}
        return await self._write('POST', _path(kind), body)

    async def replace(
        self,
        kind: str,
        name: str,
        document: JsonValue,
        version: int,
    ) -> int:
        """Replace an object at a known revision; return the new one."""
        body = {'meta': {'name': name, 'rev': version}, 'spec': document}
        return await self._write('PUT', _path(kind, name), body)

    async def delete(self, kind: str, name: str, version: int) -> None:
        """Delete an object at a known revision."""
        query = urlencode({'rev': version})
        reply = await self._call('DELETE', f'{_path(kind, name)}?{query}')
        if reply.status == _NOT_FOUND:
            raise VersionConflictError(f'{kind}/{name} does not exist')

    async def watch(
        self,
        kind: str,
        after: int,
        timeout_s: float,
        prefix: str = '',
    ) -> WatchBatch:
        """Wait for changes after a revision."""
        query = urlencode({'watch': after, 'wait_ms': int(timeout_s * _MS)})
        reply = await self._call(
            'GET',
            f'{_path(kind)}?{query}',
            wait_s=timeout_s + _WATCH_MARGIN_S,
        )
        body = _decode(reply)
        changed: dict[str, StoredObject | None] = {}
        for event in body['events']:
            entry = _read_object(kind, event['object'])
            changed[entry.name] = None if event['deleted'] else entry
        return WatchBatch(
            int(body['current_rev']),
            [
                entry
                for entry in changed.values()
                if entry is not None and entry.name.startswith(prefix)
            ],
            [name for name, entry in changed.items() if entry is None],
        )

    def reconnect(self) -> None:
        """Drop idle connections, which may be silent after an outage."""
        self._pool.close_idle()

    async def aclose(self) -> None:
        """Release the connections."""
        self._pool.close_idle()

    async def _write(
        self,
        method: str,
        path: str,
        body: Mapping[str, Any],
    ) -> int:
        reply = await self._call(method, path, msgspec.json.encode(body))
        if reply.status == _NOT_FOUND:
            raise VersionConflictError(f'{path} does not exist')
        try:
            return int(_decode(reply)['meta']['rev'])
        except (StoreUnavailableError, KeyError, TypeError) as error:
            raise StoreOutcomeUnknownError('unreadable answer') from error

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        wait_s: float = _TIMEOUT_S,
    ) -> ServerResponse:
        headers = [(b'host', str(self._address).encode())]
        if body:
            headers.append((b'content-type', b'application/json'))
        head = RequestHead(method.encode(), path.encode(), headers)
        self.calls += 1
        try:
            reply = await call_server(
                self._pool,
                self._address,
                (head, body),
                wait_s,
            )
        except ConnectFailedError as error:
            raise StoreUnavailableError(error.message) from error
        except ConnectionLostError as error:
            raise _lost_answer(method, error.message) from error
        _raise_refusal(method, reply)
        return reply


def _raise_refusal(method: str, reply: ServerResponse) -> None:
    status = reply.status
    if _OK <= status < _OK + 100 or status == _NOT_FOUND:  # noqa: WPS432
        return
    message = f'the store answered {status}'
    if status == _CONFLICT:
        raise VersionConflictError(message)
    if status == _GONE:
        raise WatchExpiredError(message)
    if status in _REFUSED:
        raise StoreUnavailableError(message)
    raise _lost_answer(method, message)


def _lost_answer(method: str, message: str) -> StoreError:
    """Return the error of a call whose bytes may have left."""
    if method == 'GET':
        return StoreUnavailableError(message)
    return StoreOutcomeUnknownError(message)


def _decode(reply: ServerResponse) -> Any:
    try:
        return msgspec.json.decode(reply.body)
    except msgspec.DecodeError as error:
        raise StoreUnavailableError('unreadable answer') from error


def _read_object(kind: str, body: Any) -> StoredObject:
    meta = body['meta']
    return StoredObject(kind, meta['name'], int(meta['rev']), body.get('spec'))


def _path(kind: str, name: str | None = None) -> str:
    path = f'/v1/objects/{quote(kind, safe="")}'
    return path if name is None else f'{path}/{quote(name, safe="")}'
