"""Use the object API over HTTP."""

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

MAX_OBJECT_BYTES = 1_000_000
_TIMEOUT_S = 2.0
_WATCH_MARGIN_S = 2.0
# No byte of the request has left when one of these is raised.
_NOT_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)
_READING = frozenset(('GET',))
_REFUSALS: Mapping[int, type[StoreError]] = types.MappingProxyType(
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
        """Use a transport; ``None`` stands for TCP."""
        self._timeout_s = timeout_s
        self._client = httpx.AsyncClient(
            base_url=base_url,
            transport=transport,
            timeout=timeout_s,
        )

    async def read(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or ``None`` if it doesn't exist."""
        answer = await self._call('GET', _object_path(kind, name))
        if answer.status_code == httpx.codes.NOT_FOUND:
            return None
        return _parse_object(_decode(answer))

    async def list_objects(self, kind: str, prefix: str = '') -> Listing:
        """Return the objects of a kind whose names have a prefix."""
        answer = await self._call(
            'GET',
            f'/objects/{_quote(kind)}',
            query={'prefix': prefix},
        )
        body = _decode(answer)
        return Listing(
            body['revision'],
            [_parse_object(entry) for entry in body['objects']],
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
        condition = {'If-Match': str(version)}
        return await self._put(kind, name, document, condition)

    async def delete(self, kind: str, name: str, version: int) -> None:
        """Delete an object at a known version."""
        answer = await self._call(
            'DELETE',
            _object_path(kind, name),
            headers={'If-Match': str(version)},
        )
        if answer.status_code == httpx.codes.NOT_FOUND:
            raise VersionConflictError(f'{kind}/{name} does not exist')

    async def watch(
        self,
        kind: str,
        after: int,
        timeout_s: float,
        prefix: str = '',
    ) -> WatchBatch:
        """Wait for changes after a revision."""
        answer = await self._call(
            'GET',
            f'/watch/{_quote(kind)}',
            query={
                'after': str(after),
                'timeout': str(timeout_s),
                'prefix': prefix,
            },
            wait_s=timeout_s + _WATCH_MARGIN_S,
        )
        body = _decode(answer)
        return WatchBatch(
            body['revision'],
            [_parse_object(entry) for entry in body['objects']],
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
        answer = await self._call(
            'PUT',
            _object_path(kind, name),
            headers={'Content-Type': 'application/json', **condition},
            body=encoded,
        )
        if answer.status_code == httpx.codes.NOT_FOUND:
            raise VersionConflictError(f'{kind}/{name} does not exist')
        try:
            return int(_decode(answer)['version'])
        except (StoreUnavailableError, KeyError, TypeError) as error:
            raise StoreOutcomeUnknownError('unreadable answer') from error

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
            answer = await self._client.request(
                method,
                path,
                params=query,
                headers=headers,
                content=body,
                timeout=wait_s or self._timeout_s,
            )
        except _NOT_SENT as error:
            raise StoreUnavailableError(repr(error)) from error
        except httpx.HTTPError as error:
            raise _lost_answer(method, repr(error)) from error
        _raise_refusal(method, answer)
        return answer


def _raise_refusal(method: str, answer: httpx.Response) -> None:
    status = answer.status_code
    if answer.is_success or status == httpx.codes.NOT_FOUND:
        return
    message = f'the object API answered {status}'
    refusal = _REFUSALS.get(status)
    if refusal is not None:
        raise refusal(message)
    verdict = parse_verdict(answer.headers.get(VERDICT_HEADER))
    if verdict is Verdict.NOT_RUN or answer.is_client_error:
        raise StoreUnavailableError(message)
    raise _lost_answer(method, message)


def _lost_answer(method: str, message: str) -> StoreError:
    """Return the error of a call whose bytes may have left."""
    if method in _READING:
        return StoreUnavailableError(message)
    return StoreOutcomeUnknownError(message)


def _decode(answer: httpx.Response) -> Any:
    try:
        return msgspec.json.decode(answer.content)
    except msgspec.DecodeError as error:
        raise StoreUnavailableError('unreadable answer') from error


def _parse_object(body: Mapping[str, Any]) -> StoredObject:
    return StoredObject(
        body['kind'],
        body['name'],
        body['version'],
        body['value'],
    )


def _quote(segment: str) -> str:
    return quote(segment, safe='')


def _object_path(kind: str, name: str) -> str:
    return f'/objects/{_quote(kind)}/{_quote(name)}'
