"""Guard what the store's client says of calls without a usable answer."""

import asyncio
import json

import pytest

from cassiarail.core.exceptions import (
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    VersionConflictError,
    WatchExpiredError,
)
from cassiarail.platform.store import PlatformStore
from tests.http1.wire import ScriptedServer, run_with_timeout

OBJECT = {'meta': {'name': 'n', 'rev': 5}, 'spec': {'x': 1}, 'status': None}


def reply(status, body=None):
    encoded = json.dumps(body).encode()
    return (
        b'HTTP/1.1 %d X\r\nContent-Type: application/json\r\n'
        b'Content-Length: %d\r\n\r\n' % (status, len(encoded))
    ) + encoded


def call(work, *replies):
    """Run a call against these replies; ``None`` closes the connection."""
    left = list(replies)
    outcome = []

    async def script(server, reader, writer):
        while True:
            await server.read_request(reader)
            answer = left.pop(0)
            if answer is None:
                return
            writer.write(answer)
            await writer.drain()

    async def main():
        async with ScriptedServer(script) as server:
            store = PlatformStore(server.address)
            try:
                outcome.append(await work(store))
            finally:
                await store.aclose()
                outcome.append(server.received)

    run_with_timeout(main)
    return outcome


def replace(store):
    return store.replace('k', 'n', {'x': 2}, 5)


def test_an_object_is_read_with_its_revision():
    found, sent = call(lambda store: store.read('k', 'n'), reply(200, OBJECT))
    assert (found.name, found.version, found.document) == ('n', 5, {'x': 1})
    assert sent.startswith(b'GET /v1/objects/k/n HTTP/1.1')


def test_a_missing_object_is_none():
    found, _sent = call(lambda store: store.read('k', 'n'), reply(404))
    assert found is None


def test_a_write_carries_the_revision_that_it_expects():
    version, sent = call(
        replace, reply(200, {**OBJECT, 'meta': {'name': 'n', 'rev': 6}})
    )
    assert version == 6
    assert b'"rev":5' in sent


@pytest.mark.parametrize(
    ('answer', 'error'),
    [
        (reply(409, OBJECT), VersionConflictError),
        (reply(404), VersionConflictError),
        (reply(503), StoreUnavailableError),
        (reply(429), StoreUnavailableError),
        (reply(500), StoreOutcomeUnknownError),
        (reply(200, {'no': 'meta'}), StoreOutcomeUnknownError),
        (None, StoreOutcomeUnknownError),
    ],
)
def test_a_write_tells_whether_it_may_have_been_done(answer, error):
    # A write taken for undone would be made twice.
    with pytest.raises(error):
        call(replace, answer)


def test_an_unreachable_store_took_no_write():
    async def main():
        async with ScriptedServer(asyncio.sleep) as server:
            address = server.address
        with pytest.raises(StoreUnavailableError):
            await replace(PlatformStore(address))

    run_with_timeout(main)


def test_lost_history_is_told_apart():
    with pytest.raises(WatchExpiredError):
        call(lambda store: store.watch('k', 3, 1), reply(410))


def test_a_watch_keeps_the_last_event_of_each_object():
    gone = {'object': OBJECT, 'deleted': True}
    there = {'object': {**OBJECT, 'spec': {'x': 9}}, 'deleted': False}
    body = {'events': [gone, there], 'current_rev': 8}
    batch, sent = call(lambda store: store.watch('k', 3, 1.5), reply(200, body))
    assert batch.revision == 8
    assert [each.document for each in batch.entries] == [{'x': 9}]
    assert not batch.deleted
    assert b'watch=3&wait_ms=1500' in sent


def test_all_pages_of_a_list_are_read():
    second = {**OBJECT, 'meta': {'name': 'o', 'rev': 6}}
    listing, sent = call(
        lambda store: store.list_objects('k'),
        reply(200, {'items': [OBJECT], 'has_more': True, 'current_rev': 7}),
        reply(200, {'items': [second], 'has_more': False, 'current_rev': 9}),
    )
    assert [each.name for each in listing.entries] == ['n', 'o']
    assert b'after=n' in sent
