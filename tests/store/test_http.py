"""Test the verdicts and the wire format of the object API client."""

import httpx
import pytest

from cassiarail.core import exceptions
from cassiarail.core.loops import run_virtual
from cassiarail.store.backends.http import HttpObjectStore

OBJECT = {'kind': 'lease', 'name': 'a/b', 'version': 7, 'value': {'x': 1}}


def call(respond, operation):
    async def main():
        transport = httpx.MockTransport(respond)
        store = HttpObjectStore('http://store', transport)
        try:
            return await operation(store)
        finally:
            await store.aclose()

    return run_virtual(main)


def fail(error):
    def respond(request):
        raise error

    return respond


def read(store):
    return store.read('lease', 'a/b')


def replace(store):
    return store.replace('lease', 'a/b', {'x': 2}, 7)


def test_names_are_quoted_and_conditions_sent():
    """Guard against a slash in a name addressing another object."""
    requests = []

    def respond(request):
        requests.append(request)
        if request.method == 'GET':
            return httpx.Response(200, json=OBJECT)
        return httpx.Response(200, json={'version': 8})

    found = call(respond, read)
    assert (found.version, found.document) == (7, {'x': 1})
    assert call(respond, replace) == 8
    assert requests[1].url.raw_path == b'/objects/lease/a%2Fb'
    assert requests[1].headers['if-match'] == '7'
    assert requests[1].content == b'{"x":2}'


@pytest.mark.parametrize(
    ('respond', 'expected'),
    [
        (fail(httpx.ConnectError('x')), exceptions.StoreUnavailableError),
        (fail(httpx.ConnectTimeout('x')), exceptions.StoreUnavailableError),
        (fail(httpx.ReadTimeout('x')), exceptions.StoreOutcomeUnknownError),
        (fail(httpx.ReadError('x')), exceptions.StoreOutcomeUnknownError),
        (fail(httpx.WriteError('x')), exceptions.StoreOutcomeUnknownError),
        (
            fail(httpx.RemoteProtocolError('x')),
            exceptions.StoreOutcomeUnknownError,
        ),
        (
            lambda _request: httpx.Response(500),
            exceptions.StoreOutcomeUnknownError,
        ),
        (
            lambda _request: httpx.Response(200, content=b'{'),
            exceptions.StoreOutcomeUnknownError,
        ),
        (
            lambda _request: httpx.Response(
                503, headers={'x-verdict': 'not-run'}
            ),
            exceptions.StoreUnavailableError,
        ),
        (
            lambda _request: httpx.Response(429),
            exceptions.StoreUnavailableError,
        ),
        (lambda _request: httpx.Response(412), exceptions.VersionConflictError),
        (lambda _request: httpx.Response(404), exceptions.VersionConflictError),
    ],
)
def test_writes_are_certain_only_before_first_byte_is_sent(respond, expected):
    """Guard against reporting a write that took effect as refused."""
    with pytest.raises(exceptions.StoreError) as caught:
        call(respond, replace)
    assert type(caught.value) is expected


@pytest.mark.parametrize(
    'respond',
    [
        fail(httpx.ReadTimeout('x')),
        lambda _request: httpx.Response(500),
        lambda _request: httpx.Response(200, content=b'{'),
    ],
)
def test_failed_reads_raise_unavailable(respond):
    """Guard against an unknown outcome of a read, which has no effect."""
    with pytest.raises(exceptions.StoreUnavailableError):
        call(respond, read)


def test_expired_watch_is_reported():
    """Guard against missed changes when the watch history has expired."""
    with pytest.raises(exceptions.WatchExpiredError):
        call(
            lambda _request: httpx.Response(410),
            lambda store: store.watch('lease', 1, 5),
        )
