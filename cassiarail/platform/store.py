"""Access the platform's object store over HTTP."""

from collections.abc import Iterable, Iterator, Mapping
from typing import Any, NamedTuple
from urllib.parse import quote, urlencode

import msgspec

from cassiarail.core.events import emit_event
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
from cassiarail.http1.messages import RequestHead, find_header
from cassiarail.http1.pool import Address, ConnectionPool, PoolRules
from cassiarail.platform.pages import decode_page
from cassiarail.store.backends.base import (
    JsonValue,
    Listing,
    ObjectStore,
    StoredObject,
    WatchBatch,
)
from cassiarail.store.eras import EarlierEraError, Version, require_same_era
from cassiarail.store.events import OBJECT_UNREADABLE
from cassiarail.store.leases import LEASE_KIND, ORDERS_LEASE
from cassiarail.store.monitor import Checkable

_TIMEOUT_S = 1.5
_CONNECT_TIMEOUT_S = 0.7
_CHECK_TIMEOUT_S = 0.8
_WATCH_MARGIN_S = 1.0
_MS = 1000
_OK = 200
_NOT_FOUND = 404
_CONFLICT = 409
_GONE = 410
# The store did not execute a request with one of these statuses.
_REJECTED_STATUSES = frozenset((429, 503))
# A stale read costs a tenth of a normal one and does not count
# towards the rate limit.
_STALE_QUERY = 'allow_stale=1'
_ERA_HEADER = b'store-era'


class PlatformStore(ObjectStore, Checkable):
    """Read, watch and conditionally write objects of the platform."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._pool = ConnectionPool(PoolRules(_CONNECT_TIMEOUT_S))

    async def read(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or ``None`` if it doesn't exist."""
        answer = await self._call('GET', _build_path(kind, name))
        if answer.status == _NOT_FOUND:
            return None
        return _parse_object(kind, answer.decode(), answer.era)

    async def check(self) -> int | None:
        """Return the lease's version from a stale read, or ``None``.

        The version may be seconds old. One of an earlier era shows that the
        store responds, and nothing else.
        """
        path = _build_path(LEASE_KIND, ORDERS_LEASE)
        try:
            answer = await self._call(
                'GET',
                f'{path}?{_STALE_QUERY}',
                timeout_s=_CHECK_TIMEOUT_S,
            )
        except EarlierEraError:
            return None
        if answer.status == _NOT_FOUND:
            return None
        return _parse_object(LEASE_KIND, answer.decode(), answer.era).version

    async def list_objects(self, kind: str, prefix: str = '') -> Listing:
        """Return all objects of a kind; they are read page by page."""
        stored_objects: list[StoredObject] = []
        path = _build_path(kind)
        revision: int | None = None
        while True:
            page = _read_page(await self._call('GET', path), 'items')
            if revision is not None:
                require_same_era(page.era, revision, is_write=False)
            revision = page.revision
            entries = list(_parse_objects(kind, page.entries, page.era))
            stored_objects.extend(entries)
            if not (page.has_more and entries):
                break
            after = urlencode({'after': entries[-1].name})
            path = f'{_build_path(kind)}?{after}'
        return Listing(
            revision,
            [each for each in stored_objects if each.name.startswith(prefix)],
        )

    async def create(self, kind: str, name: str, document: JsonValue) -> int:
        """Create an object and return its revision."""
        body = {'meta': {'name': name}, 'spec': document}
        return await self._write('POST', _build_path(kind), body)

    async def replace(
        self,
        kind: str,
        name: str,
        document: JsonValue,
        version: int,
    ) -> int:
        """Replace an object at a known revision; return the new one."""
        revision = self.era.require_current(version)
        body = {'meta': {'name': name, 'rev': revision}, 'spec': document}
        written = await self._write('PUT', _build_path(kind, name), body)
        require_same_era(Version.unpack(written).era, version, is_write=True)
        return written

    async def delete(self, kind: str, name: str, version: int) -> None:
        """Delete an object at a known revision."""
        query = urlencode({'rev': self.era.require_current(version)})
        answer = await self._call(
            'DELETE', f'{_build_path(kind, name)}?{query}'
        )
        if answer.status == _NOT_FOUND:
            raise VersionConflictError(f'{kind}/{name} does not exist')
        require_same_era(answer.era, version, is_write=True)

    async def watch(
        self,
        kind: str,
        after: int,
        timeout_s: float,
        prefix: str = '',
    ) -> WatchBatch:
        """Wait for changes after a revision."""
        revision = self.era.require_history(after)
        query = urlencode({'watch': revision, 'wait_ms': int(timeout_s * _MS)})
        answer = await self._call(
            'GET',
            f'{_build_path(kind)}?{query}',
            timeout_s=timeout_s + _WATCH_MARGIN_S,
        )
        page = _read_page(answer, 'events')
        require_same_era(page.era, after, is_write=False)
        changed: dict[str, StoredObject | None] = {}
        for event in page.entries:
            found = [_get_object(event)]
            for entry in _parse_objects(kind, found, page.era):
                is_deleted = bool(event.get('deleted'))
                changed[entry.name] = None if is_deleted else entry
        return WatchBatch(
            page.revision,
            [
                entry
                for entry in changed.values()
                if entry is not None and entry.name.startswith(prefix)
            ],
            [name for name, entry in changed.items() if entry is None],
        )

    def reconnect(self) -> None:
        """Close idle connections, which may be dead after an outage."""
        self._pool.close_idle()

    async def aclose(self) -> None:
        """Close the idle connections."""
        self._pool.close_idle()

    async def _write(
        self,
        method: str,
        path: str,
        body: Mapping[str, Any],
    ) -> int:
        answer = await self._call(method, path, msgspec.json.encode(body))
        if answer.status == _NOT_FOUND:
            raise VersionConflictError(f'{path} does not exist')
        try:
            revision = int(answer.decode()['meta']['rev'])
        except (StoreUnavailableError, KeyError, TypeError) as error:
            raise StoreOutcomeUnknownError(
                'the response has no readable revision'
            ) from error
        return Version(answer.era, revision).pack()

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        timeout_s: float = _TIMEOUT_S,
    ) -> '_Answer':
        headers = [(b'host', str(self._address).encode())]
        if body:
            headers.append((b'content-type', b'application/json'))
        head = RequestHead(method.encode(), path.encode(), headers)
        try:
            response = await call_server(
                self._pool,
                self._address,
                (head, body),
                timeout_s,
            )
        except ConnectFailedError as error:
            raise StoreUnavailableError(error.message) from error
        except ConnectionLostError as error:
            raise _build_interrupted_error(method, error.message) from error
        try:
            era = self.era.read_answer(
                find_header(response.headers, _ERA_HEADER),
                is_write=method != 'GET',
            )
        except EarlierEraError:
            _raise_for_status(method, response)
            raise
        _raise_for_status(method, response)
        return _Answer(response.status, response.body, era)


class _Answer(NamedTuple):
    """Hold a response and the era in which the store gave it."""

    status: int
    body: bytes
    era: int

    def decode(self) -> Any:
        """Return the decoded body."""
        try:
            return decode_page(self.body)
        except ValueError as error:
            raise StoreUnavailableError('the response is not JSON') from error


def _raise_for_status(method: str, response: ServerResponse) -> None:
    status = response.status
    if _OK <= status < _OK + 100 or status == _NOT_FOUND:  # noqa: WPS432
        return
    message = f'the store responded with status {status}'
    if status == _CONFLICT:
        raise VersionConflictError(message)
    if status == _GONE:
        raise WatchExpiredError(message)
    if status in _REJECTED_STATUSES:
        raise StoreUnavailableError(message)
    raise _build_interrupted_error(method, message)


def _build_interrupted_error(method: str, message: str) -> StoreError:
    """Return the error of a call that the store may have received.

    Only a write leaves its outcome unknown.
    """
    if method == 'GET':
        return StoreUnavailableError(message)
    return StoreOutcomeUnknownError(message)


class _Page(NamedTuple):
    """Hold a part of a listing, or the changes that a watch returned."""

    era: int
    revision: int
    entries: list[Any]
    has_more: bool


def _read_page(answer: _Answer, field: str) -> _Page:
    body = answer.decode()
    try:
        return _Page(
            answer.era,
            Version(answer.era, int(body['current_rev'])).pack(),
            list(body[field]),
            bool(body.get('has_more')),
        )
    except (LookupError, TypeError, ValueError) as error:
        raise StoreUnavailableError('the response is incomplete') from error


def _get_object(event: Any) -> Any:
    return event.get('object') if isinstance(event, dict) else None


def _parse_objects(
    kind: str, bodies: Iterable[Any], era: int
) -> Iterator[StoredObject]:
    """Yield the objects that have a name and a revision."""
    for body in bodies:
        try:
            yield _parse_object(kind, body, era)
        except StoreUnavailableError as error:
            emit_event(OBJECT_UNREADABLE, kind=kind, error=error.message)


def _parse_object(kind: str, body: Any, era: int) -> StoredObject:
    try:
        meta = body['meta']
        return StoredObject(
            kind,
            str(meta['name']),
            Version(era, int(meta['rev'])).pack(),
            dict(body).get('spec'),
        )
    except (LookupError, TypeError, ValueError) as error:
        raise StoreUnavailableError('an object has no identity') from error


def _build_path(kind: str, name: str | None = None) -> str:
    path = f'/v1/objects/{quote(kind, safe="")}'
    return path if name is None else f'{path}/{quote(name, safe="")}'
