"""Test the errors of store calls without a usable response."""

import asyncio
import json

import pytest
from prometheus_client import CollectorRegistry

from cassiarail.core.clock import LoopClock
from cassiarail.core.exceptions import (
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    VersionConflictError,
    WatchExpiredError,
)
from cassiarail.platform.store import PlatformStore
from cassiarail.store.eras import Version
from cassiarail.store.observed import ObservedStore
from tests.http1.wire import ScriptedServer, run_with_timeout

OBJECT = {'meta': {'name': 'n', 'rev': 5}, 'spec': {'x': 1}, 'status': None}


def encode_response(status, body=None):
    encoded = json.dumps(body).encode()
    return (
        b'HTTP/1.1 %d X\r\nContent-Type: application/json\r\n'
        b'Content-Length: %d\r\n\r\n' % (status, len(encoded))
    ) + encoded


def run_call(operation, *responses):
    """Run a call against these responses; ``None`` closes the connection."""
    remaining = list(responses)
    results = []

    async def script(server, reader, writer):
        while True:
            await server.read_request(reader)
            response = remaining.pop(0)
            if response is None:
                return
            writer.write(response)
            await writer.drain()

    async def main():
        async with ScriptedServer(script) as server:
            store = PlatformStore(server.address)
            try:
                results.append(await operation(store))
            finally:
                await store.aclose()
                results.append(server.received)

    run_with_timeout(main)
    return results


def replace_object(store):
    return store.replace('k', 'n', {'x': 2}, 5)


def test_an_object_is_read_with_its_revision():
    found, sent = run_call(
        lambda store: store.read('k', 'n'), encode_response(200, OBJECT)
    )
    assert (found.name, found.version, found.document) == ('n', 5, {'x': 1})
    assert sent.startswith(b'GET /v1/objects/k/n HTTP/1.1')


def test_a_missing_object_is_read_as_none():
    found, _sent = run_call(
        lambda store: store.read('k', 'n'), encode_response(404)
    )
    assert found is None


def test_a_write_sends_its_expected_revision():
    version, sent = run_call(
        replace_object,
        encode_response(200, {**OBJECT, 'meta': {'name': 'n', 'rev': 6}}),
    )
    assert version == 6
    assert b'"rev":5' in sent


@pytest.mark.parametrize(
    ('response', 'error'),
    [
        (encode_response(409, OBJECT), VersionConflictError),
        (encode_response(404), VersionConflictError),
        (encode_response(503), StoreUnavailableError),
        (encode_response(429), StoreUnavailableError),
        (encode_response(500), StoreOutcomeUnknownError),
        (encode_response(200, {'no': 'meta'}), StoreOutcomeUnknownError),
        (None, StoreOutcomeUnknownError),
    ],
)
def test_a_failed_write_reports_whether_it_may_have_been_applied(
    response, error
):
    # A write that is wrongly reported as not applied would be repeated.
    with pytest.raises(error):
        run_call(replace_object, response)


def test_a_write_to_an_unreachable_store_is_not_reported_as_uncertain():
    async def main():
        async with ScriptedServer(asyncio.sleep) as server:
            address = server.address
        with pytest.raises(StoreUnavailableError):
            await replace_object(PlatformStore(address))

    run_with_timeout(main)


def test_an_expired_watch_is_not_reported_as_an_outage():
    with pytest.raises(WatchExpiredError):
        run_call(lambda store: store.watch('k', 3, 1), encode_response(410))


def test_a_watch_returns_the_last_event_of_each_object():
    deleted_event = {'object': OBJECT, 'deleted': True}
    updated_event = {'object': {**OBJECT, 'spec': {'x': 9}}, 'deleted': False}
    body = {'events': [deleted_event, updated_event], 'current_rev': 8}
    batch, sent = run_call(
        lambda store: store.watch('k', 3, 1.5), encode_response(200, body)
    )
    assert batch.revision == 8
    assert [each.document for each in batch.entries] == [{'x': 9}]
    assert not batch.deleted
    assert b'watch=3&wait_ms=1500' in sent


def test_all_pages_of_a_list_are_read():
    second_object = {**OBJECT, 'meta': {'name': 'o', 'rev': 6}}
    listing, sent = run_call(
        lambda store: store.list_objects('k'),
        encode_response(
            200, {'items': [OBJECT], 'has_more': True, 'current_rev': 7}
        ),
        encode_response(
            200, {'items': [second_object], 'has_more': False, 'current_rev': 9}
        ),
    )
    assert [each.name for each in listing.entries] == ['n', 'o']
    assert b'after=n' in sent


def encode_in_era(era, status, body=None):
    head, _separator, rest = encode_response(status, body).partition(b'\r\n')
    return head + b'\r\nStore-Era: %d\r\n' % era + rest


def test_versions_contain_the_era_of_the_header():
    found, _sent = run_call(
        lambda store: store.read('k', 'n'), encode_in_era(3, 200, OBJECT)
    )
    assert Version.unpack(found.version) == (3, 5)


def test_a_write_sends_the_revision_of_a_version():
    async def read_and_replace(store):
        found = await store.read('k', 'n')
        return await store.replace('k', 'n', {'x': 2}, found.version)

    written = {**OBJECT, 'meta': {'name': 'n', 'rev': 6}}
    version, sent = run_call(
        read_and_replace,
        encode_in_era(3, 200, OBJECT),
        encode_in_era(3, 200, written),
    )
    assert version == Version(3, 6).pack()
    assert b'"rev":5' in sent


def test_a_write_that_is_answered_in_a_later_era_has_an_unknown_outcome():
    async def read_and_replace(store):
        found = await store.read('k', 'n')
        with pytest.raises(StoreOutcomeUnknownError):
            await store.replace('k', 'n', {'x': 2}, found.version)
        with pytest.raises(VersionConflictError):
            await store.replace('k', 'n', {'x': 2}, found.version)

    run_call(
        read_and_replace,
        encode_in_era(3, 200, OBJECT),
        encode_in_era(4, 200, OBJECT),
    )


@pytest.mark.parametrize('status', [200, 410, 503])
def test_each_answer_tells_of_a_new_era(status):
    async def watch(store):
        store.era.observe(3, 'answer')
        with pytest.raises((WatchExpiredError, StoreUnavailableError)):
            await store.watch('k', Version(3, 5).pack(), 1)
        assert store.era.current == 4

    events = {'current_rev': 5, 'events': []}
    run_call(watch, encode_in_era(4, status, events))


def test_a_listing_whose_pages_are_of_two_eras_is_begun_again():
    async def list_all(store):
        with pytest.raises(WatchExpiredError):
            await store.list_objects('k')

    page = {'current_rev': 5, 'items': [OBJECT], 'has_more': True}
    run_call(list_all, encode_in_era(3, 200, page), encode_in_era(4, 200, page))


def test_a_stale_check_of_an_earlier_era_shows_that_the_store_responds():
    async def check(store):
        store.era.observe(3, 'peer')
        observed = ObservedStore(store, store, LoopClock(), CollectorRegistry())
        assert await observed.check() is None
        assert not observed.breaker.is_open
        with pytest.raises(StoreUnavailableError):
            await observed.check()
        assert observed.breaker.is_open

    run_call(check, encode_in_era(2, 200, OBJECT), encode_in_era(2, 503))
