"""Object store client over HTTP."""

import types
from collections.abc import Mapping
from typing import Any
from urllib.parse import quote

import httpx
import msgspec

from cassiarail.core.exceptions import (
    ObjectTooLargeError,
    StoreError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    VersionConflictError,
    WatchExpiredError,
)
from cassiarail.core.verdict import VERDICT_HEADER, Verdict, parse_verdict
from cassiarail.store.backends.base import (
    JsonValue,
    Listing,
    ObjectStore,
    StoredObject,
    WatchBatch,
)
from cassiarail.store.eras import Version, require_same_era

MAX_OBJECT_BYTES = 1_000_000
_TIMEOUT_S = 2.0
_WATCH_MARGIN_S = 2.0
# Errors that are raised before any byte of the request is sent.
_NOT_SENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)
_READ_METHODS = frozenset(('GET',))
ERA_HEADER = 'store-era'
_ERRORS_BY_STATUS: Mapping[int, type[StoreError]] = types.MappingProxyType(
    {
        httpx.codes.PRECONDITION_FAILED: VersionConflictError,
        httpx.codes.GONE: WatchExpiredError,
        httpx.codes.REQUEST_ENTITY_TOO_LARGE: ObjectTooLargeError,
        httpx.codes.TOO_MANY_REQUESTS: StoreUnavailableError,
    }
)


class HttpObjectStore(ObjectStore):
    """Read, watch and conditionally write objects over HTTP."""

    def __init__(
        self,
        base_url: str,
        transport: httpx.AsyncBaseTransport | None = None,
        timeout_s: float = _TIMEOUT_S,
    ) -> None:
        """Create the client; ``transport`` defaults to TCP."""
        self._timeout_s = timeout_s
        self._client = httpx.AsyncClient(
            base_url=base_url,
            transport=transport,
            timeout=timeout_s,
        )

    async def read(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or ``None`` if it doesn't exist."""
        response = await self._call('GET', _object_path(kind, name))
        if response.status_code == httpx.codes.NOT_FOUND:
            return None
        return _parse_object(_decode(response), self._read_era(response))

    async def list_objects(self, kind: str, prefix: str = '') -> Listing:
        """Return the objects of a kind whose names have a prefix."""
        response = await self._call(
            'GET',
            f'/objects/{_quote(kind)}',
            query={'prefix': prefix},
        )
        body = _decode(response)
        era = self._read_era(response)
        return Listing(
            Version(era, body['revision']).pack(),
            [_parse_object(entry, era) for entry in body['objects']],
        )

    async def create(self, kind: str, name: str, document: JsonValue) -> int:
        """Create an object and return its version."""
        return await self._put(kind, name, document, {'If-None-Match': '*'})

    async def replace(
        self,
        kind: str,
        name: str,
        document: JsonValue,
        version: int,
    ) -> int:
        """Replace an object at a known version; return the new version."""
        condition = {'If-Match': str(self.era.require_current(version))}
        written = await self._put(kind, name, document, condition)
        require_same_era(Version.unpack(written).era, version, is_write=True)
        return written

    async def delete(self, kind: str, name: str, version: int) -> None:
        """Delete an object at a known version."""
        response = await self._call(
            'DELETE',
            _object_path(kind, name),
            headers={'If-Match': str(self.era.require_current(version))},
        )
        if response.status_code == httpx.codes.NOT_FOUND:
            raise VersionConflictError(f'{kind}/{name} does not exist')
        require_same_era(self._read_era(response), version, is_write=True)

    async def watch(
        self,
        kind: str,
        after: int,
        timeout_s: float,
        prefix: str = '',
    ) -> WatchBatch:
        """Wait for changes after a revision."""
        response = await self._call(
            'GET',
            f'/watch/{_quote(kind)}',
            query={
                'after': str(self.era.require_history(after)),
                'timeout': str(timeout_s),
                'prefix': prefix,
            },
            wait_s=timeout_s + _WATCH_MARGIN_S,
        )
        era = self._read_era(response)
        require_same_era(era, after, is_write=False)
        body = _decode(response)
        return WatchBatch(
            Version(era, body['revision']).pack(),
            [_parse_object(entry, era) for entry in body['objects']],
            list(body['deleted']),
        )

    async def aclose(self) -> None:
        """Release the connections of the client."""
        await self._client.aclose()

    async def _put(
        self,
        kind: str,
        name: str,
        document: JsonValue,
        condition: Mapping[str, str],
    ) -> int:
        encoded = msgspec.json.encode(document)
        if len(encoded) > MAX_OBJECT_BYTES:
            raise ObjectTooLargeError(f'{kind}/{name}: {len(encoded)} bytes')
        response = await self._call(
            'PUT',
            _object_path(kind, name),
            headers={'Content-Type': 'application/json', **condition},
            body=encoded,
        )
        if response.status_code == httpx.codes.NOT_FOUND:
            raise VersionConflictError(f'{kind}/{name} does not exist')
        try:
            revision = int(_decode(response)['version'])
        except (StoreUnavailableError, KeyError, TypeError) as error:
            raise StoreOutcomeUnknownError('invalid response') from error
        return Version(self._read_era(response), revision).pack()

    def _read_era(self, response: httpx.Response) -> int:
        """Return the era of a response, and record it."""
        return self.era.read_answer(
            response.headers.get(ERA_HEADER),
            is_write=response.request.method not in _READ_METHODS,
        )

    async def _call(
        self,
        method: str,
        path: str,
        *,
        query: Mapping[str, str] | None = None,
        headers: Mapping[str, str] | None = None,
        body: bytes | None = None,
        wait_s: float | None = None,
    ) -> httpx.Response:
        try:
            response = await self._client.request(
                method,
                path,
                params=query,
                headers=headers,
                content=body,
                timeout=wait_s or self._timeout_s,
            )
        except _NOT_SENT_ERRORS as error:
            raise StoreUnavailableError(repr(error)) from error
        except httpx.HTTPError as error:
            raise _error_after_sending(method, repr(error)) from error
        self._read_era(response)
        _raise_for_status(method, response)
        return response


def _raise_for_status(method: str, response: httpx.Response) -> None:
    status = response.status_code
    if response.is_success or status == httpx.codes.NOT_FOUND:
        return
    message = f'the object API responded with status {status}'
    error_class = _ERRORS_BY_STATUS.get(status)
    if error_class is not None:
        raise error_class(message)
    verdict = parse_verdict(response.headers.get(VERDICT_HEADER))
    if verdict is Verdict.NOT_RUN or response.is_client_error:
        raise StoreUnavailableError(message)
    raise _error_after_sending(method, message)


def _error_after_sending(method: str, message: str) -> StoreError:
    """Return the error of a call whose bytes may have been sent."""
    if method in _READ_METHODS:
        return StoreUnavailableError(message)
    return StoreOutcomeUnknownError(message)


def _decode(response: httpx.Response) -> Any:
    try:
        return msgspec.json.decode(response.content)
    except msgspec.DecodeError as error:
        raise StoreUnavailableError('invalid response') from error


def _parse_object(body: Mapping[str, Any], era: int) -> StoredObject:
    return StoredObject(
        body['kind'],
        body['name'],
        Version(era, body['version']).pack(),
        body['value'],
    )


def _quote(segment: str) -> str:
    return quote(segment, safe='')


def _object_path(kind: str, name: str) -> str:
    return f'/objects/{_quote(kind)}/{_quote(name)}'
