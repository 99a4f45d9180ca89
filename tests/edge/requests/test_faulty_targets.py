"""Test that what a faulty target sends never reaches the wrong caller.

Operators of similar systems reported errors in the middle of streams, and
responses without end. Copies of responses are tested in test_matching.py.
"""

import asyncio

import pytest

from cassiarail.edge.requests.event_stream import EventSplitter
from tests.edge.harness import (
    CONFIGURATION,
    NOT_RUN,
    Fleet,
    is_report_request,
    make_report,
    make_response,
    make_route,
    serve,
)
from tests.edge.requests.test_forwarding import STREAM_HEAD, serve_stream
from tests.http1.wire import ScriptedServer, reset, run_with_timeout


def test_a_refusal_without_the_end_of_its_body_is_retried_at_once():
    endless = NOT_RUN.replace(b'Content-Length: 0', b'Content-Length: 9999')

    async def refuse_slowly(server, reader, writer):
        await server.read_request(reader)
        writer.write(endless)
        await asyncio.Event().wait()

    async def main():
        async with (
            ScriptedServer(refuse_slowly) as slow,
            ScriptedServer(serve(make_response(b'done'))) as sound,
            Fleet() as host,
        ):
            received = await host.send_with_successor('file', slow, sound)
            # Otherwise the request is refused at its deadline.
            assert received.endswith(b'done')

    run_with_timeout(main)


async def resume_with(response):
    """Break a stream off after event 2; return what the caller received."""
    is_known = asyncio.Event()

    async def respond(server, reader, writer):
        await server.read_request(reader)
        writer.write(response)
        await writer.drain()

    interrupted = ScriptedServer(
        serve_stream(
            b'id: 1\ndata: a\n\nid: 2\ndata: b\n\n',
            ends=False,
            until=is_known,
        ),
    )
    async with interrupted, ScriptedServer(respond) as other, Fleet() as host:
        received = await host.send_with_successor(
            'resume', interrupted, other, is_known
        )
        assert other.received
        return received


def encode_stream(body, head=STREAM_HEAD):
    return head + b'%x\r\n%s\r\n0\r\n\r\n' % (len(body), body)


def check_incomplete(received, *unwanted):
    assert received.count(b'HTTP/1.1') == 1
    assert received.count(b'id: 2\n') == 1
    assert not received.endswith(b'0\r\n\r\n')
    for part in unwanted:
        assert part not in received


def test_an_error_of_the_next_target_never_enters_a_stream_that_began():
    async def main():
        for status in ('500 Broken', '404 Missing', '503 Busy', '429 Slow'):
            received = await resume_with(make_response(b'oops', status))
            check_incomplete(received, b'oops', b'Content-Length')

    run_with_timeout(main)


def test_a_success_that_is_no_stream_never_enters_a_stream_that_began():
    async def main():
        received = await resume_with(
            make_response(b'{"error": 1}', headers='Content-Type: x/json\r\n')
        )
        check_incomplete(received, b'error')

    run_with_timeout(main)


def test_events_that_the_caller_has_are_not_repeated():
    # The next target ignored Last-Event-Id and began from the start.
    async def main():
        received = await resume_with(
            encode_stream(b'id: 1\ndata: a\n\nid: 2\ndata: b\n\n')
        )
        check_incomplete(received)
        assert received.count(b'id: 1\n') == 1

    run_with_timeout(main)


def test_a_stream_that_ends_with_its_connection_within_an_event_is_broken():
    head = STREAM_HEAD.replace(b'Transfer-Encoding: chunked\r\n', b'')

    async def crash(server, reader, writer):
        await server.read_request(reader)
        writer.write(head + b'id: 1\ndata: a\n\nid: 2\nda')
        await writer.drain()

    async def main():
        for route in ('stream', 'resume'):
            async with ScriptedServer(crash) as engine, Fleet() as host:
                host.add(engine, 'i-0')
                received = await host.send_request(route)
                assert b'id: 1' in received
                assert not received.endswith(b'0\r\n\r\n')

    run_with_timeout(main)


def test_a_stream_that_ends_with_its_connection_before_any_event_is_broken():
    head = STREAM_HEAD.replace(b'Transfer-Encoding: chunked\r\n', b'')

    async def crash(server, reader, writer):
        await server.read_request(reader)
        writer.write(head)
        await writer.drain()

    async def main():
        for route in ('stream', 'resume'):
            async with ScriptedServer(crash) as engine, Fleet() as host:
                host.add(engine, 'i-0')
                received = await host.send_request(route)
                assert not received.startswith(b'HTTP/1.1 200')

    run_with_timeout(main)


@pytest.mark.parametrize('framing', ['', 'Content-Length: 900\r\n'])
@pytest.mark.parametrize('route', ['read', 'file', 'stream', 'resume'])
def test_a_body_that_is_reset_on_the_way_is_not_complete(route, framing):
    head = STREAM_HEAD.replace(
        b'Transfer-Encoding: chunked\r\n', framing.encode()
    )

    async def break_off(server, reader, writer):
        await server.read_request(reader)
        writer.write(head + b'id: 1\ndata: a\n\n')
        await writer.drain()
        await asyncio.sleep(0.05)
        reset(writer)

    async def main():
        async with ScriptedServer(break_off) as engine, Fleet() as host:
            host.add(engine, 'i-0')
            received = await host.send_request(route)
            assert received.count(b'id: 1') <= 1
            assert not received.endswith(b'0\r\n\r\n')
            if route in {'read', 'file'}:
                assert b' 502 ' in received

    run_with_timeout(main)


@pytest.mark.parametrize('route', ['read', 'file', 'stream', 'resume'])
def test_a_body_that_ends_with_its_connection_is_complete(route):
    head = STREAM_HEAD.replace(b'Transfer-Encoding: chunked\r\n', b'')

    async def close(server, reader, writer):
        await server.read_request(reader)
        writer.write(head + b'id: 1\ndata: a\n\nid: 2\ndata: b\n\n')
        await writer.drain()

    async def main():
        async with ScriptedServer(close) as engine, Fleet() as host:
            host.add(engine, 'i-0')
            received = await host.send_request(route)
            assert received.startswith(b'HTTP/1.1 200')
            assert received.count(b'id: 2') == 1
            if route in {'stream', 'resume'}:
                assert received.endswith(b'0\r\n\r\n')
            else:
                assert b'content-length: 30\r\n' in received

    run_with_timeout(main)


def test_an_event_without_end_does_not_fill_the_memory():
    async def send_forever(server, reader, writer):
        await server.read_request(reader)
        writer.write(STREAM_HEAD)
        while True:
            writer.write(b'10000\r\n' + b'x' * 65536 + b'\r\n')
            server.chunks = getattr(server, 'chunks', 0) + 1
            await writer.drain()

    async def main():
        async with ScriptedServer(send_forever) as engine, Fleet() as host:
            host.add(engine, 'i-0')
            await host.send_request('resume')
            # The limit of an event, and what sockets buffer.
            assert engine.chunks < 200

    run_with_timeout(main)


def test_responses_to_no_request_do_not_go_on_for_ever():
    async def send_forever(server, reader, writer):
        await server.read_request(reader)
        while True:
            writer.write(b'HTTP/1.1 102 Wait\r\n\r\n')
            await writer.drain()
            await asyncio.sleep(0)

    async def main():
        async with ScriptedServer(send_forever) as engine, Fleet() as host:
            host.add(engine, 'i-0')
            received = await host.send_request('file')
            # Otherwise the deadline ends it with 504.
            assert received.startswith(b'HTTP/1.1 502')

    run_with_timeout(main)


STALL_ROUTE = make_route('drip', CONFIGURATION.routes[3].kind, can_resume=True)


def test_a_target_that_sends_bytes_but_no_events_has_stalled():
    async def drip(server, reader, writer):
        head, _body = await server.read_request(reader)
        if is_report_request(head):
            writer.write(make_report())
            await reader.read()
            return
        writer.write(STREAM_HEAD + b'f\r\nid: 1\ndata: a\n\n\r\n')
        while True:
            writer.write(b'1\r\nx\r\n')
            await writer.drain()
            await asyncio.sleep(0.2)

    async def main():
        configuration = CONFIGURATION._replace(routes=(STALL_ROUTE,))
        async with (
            ScriptedServer(drip) as stalled,
            ScriptedServer(serve_stream(b'id: 2\ndata: b\n\n')) as sound,
            Fleet(configuration) as host,
        ):
            received = await host.send_with_successor('drip', stalled, sound)
            assert received.endswith(b'0\r\n\r\n')
            assert b'id: 2\n' in received
            assert b'x' not in received.partition(b'id: 1')[2]

    run_with_timeout(main)


def test_a_slow_stream_with_regular_events_is_not_interrupted():
    async def send_slowly(server, reader, writer):
        await server.read_request(reader)
        writer.write(STREAM_HEAD)
        for number in range(1, 4):
            event = b'id: %d\ndata: a\n\n' % number
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(1)
        writer.write(b'0\r\n\r\n')
        await writer.drain()

    async def main():
        async with (
            ScriptedServer(send_slowly) as slow,
            ScriptedServer(serve()) as idle,
            Fleet() as host,
        ):
            received = await host.send_with_successor('resume', slow, idle)
            assert received.endswith(b'0\r\n\r\n')
            assert not idle.received

    run_with_timeout(main)


def test_the_end_of_an_event_may_be_split_between_chunks():
    splitter = EventSplitter()
    received = b''.join(
        splitter.feed(bytes((byte,))) for byte in b'id: 1\n\nid: 2\n\n'
    )
    assert received == b'id: 1\n\nid: 2\n\n'
    assert splitter.last_id == '2'
