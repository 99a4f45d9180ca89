"""Test that the log shows what the verdict on an attempt was decided on."""

import asyncio

import pytest

from cassiarail.core.events import list_recent_events
from cassiarail.edge.events import (
    ATTEMPT_FAILED,
    REQUEST_ENDED,
    RESPONSE_SKIPPED,
    STREAM_RESUMED,
)
from tests.edge.harness import NOT_RUN, Fleet, make_response, serve
from tests.edge.requests.test_forwarding import serve_stream
from tests.http1.wire import ScriptedServer, run_with_timeout


def find_fields(event):
    """Return the fields of the newest event of a kind."""
    return next(
        each.fields
        for each in reversed(list_recent_events())
        if each.event is event
    )


@pytest.mark.parametrize(
    ('response', 'status', 'is_stated', 'is_closed', 'sent_status'),
    [
        (NOT_RUN, 503, True, False, 503),
        (make_response(status='503 Busy'), 503, False, False, 502),
        (None, 0, False, True, 502),
    ],
)
def test_a_failed_attempt_names_its_evidence(
    response, status, is_stated, is_closed, sent_status
):
    async def main():
        async with ScriptedServer(serve(response)) as engine, Fleet() as host:
            host.add(engine, 'i-0')
            await host.send_request('file')

    run_with_timeout(main)
    fields = find_fields(ATTEMPT_FAILED)
    assert fields['status'] == status
    assert fields['response_id'] == ('r1' if status else None)
    assert fields['is_stated_not_run'] is is_stated
    assert fields['is_closed_by_target'] is is_closed
    assert fields['connection_request'] == 1
    assert find_fields(REQUEST_ENDED)['status'] == sent_status


def test_a_response_of_another_request_is_logged():
    stale = NOT_RUN.replace(b'r1', b'r0')

    async def main():
        script = serve(stale + make_response())
        async with ScriptedServer(script) as engine, Fleet() as host:
            host.add(engine, 'i-0')
            assert b' 200 ' in await host.send_request('file')

    run_with_timeout(main)
    fields = find_fields(RESPONSE_SKIPPED)
    assert fields['request'] == 'r1'
    assert fields['response_id'] == 'r0'


def test_a_resumed_stream_names_both_targets():
    async def main():
        is_known = asyncio.Event()
        broken = serve_stream(b'id: 1\ndata: a\n\n', ends=False, until=is_known)
        async with (
            ScriptedServer(broken) as first,
            ScriptedServer(serve_stream(b'id: 2\ndata: b\n\n')) as second,
            Fleet() as host,
        ):
            await host.send_with_successor('resume', first, second, is_known)

    run_with_timeout(main)
    fields = find_fields(STREAM_RESUMED)
    assert (fields['previous'], fields['target']) == ('i-0', 'i-1')
    assert fields['after'] == '1'
