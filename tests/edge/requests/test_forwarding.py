"""Test the forwarding path as callers and engines see it."""

import asyncio

import pytest

from cassiarail.edge.registry.configuration import RouteKind
from cassiarail.limits.shared_budget import BudgetRules
from tests.edge.harness import (
    CONFIGURATION,
    NOT_RUN,
    Fleet,
    encode_request,
    make_response,
    make_route,
    serve,
    serve_in_turn,
)
from tests.http1.wire import ScriptedServer, run_with_timeout

MODEL_HEADER = 'X-Cassiarail-Model: m\r\n'


def send_request(route, scripts, headers='', check=None, **fleet):
    """Send one request to a host whose engines run these scripts."""

    async def main():
        servers = [ScriptedServer(script) for script in scripts]
        async with Fleet(**fleet) as host:
            for number, server in enumerate(servers):
                await server.__aenter__()
                host.add(server, f'i-{number}')
            received = await host.send_request(route, headers, b'body')
            for server in servers:
                await server.__aexit__()
            check(received, servers)

    run_with_timeout(main)


def test_request_and_response_are_relayed_unchanged():
    def check(received, servers):
        assert received.startswith(b'HTTP/1.1 200')
        assert b'x-cassiarail-server-stamp: stamp' in received.lower()
        assert received.endswith(b'\r\n\r\nok')
        seen = servers[0].received
        assert seen.startswith(b'POST /file/x?q=1 HTTP/1.1')
        assert seen.endswith(b'body')
        assert b'x-cassiarail-expect-instance: i-0' in seen

    send_request('file', [serve(make_response())], check=check)


@pytest.mark.parametrize(
    'name',
    ['Hold', 'Pin-Ms', 'Kv-Backup', 'Req-Priority', 'Expect-Instance'],
)
def test_reserved_headers_of_callers_are_dropped(name):
    # Otherwise a caller could reserve memory or pick engines (UNASKED).
    def check(_received, servers):
        assert b'forged' not in servers[0].received

    send_request(
        'file',
        [serve(make_response())],
        f'X-Cassiarail-{name}: forged\r\nKv-From: forged\r\n',
        check,
    )


@pytest.mark.parametrize('route', ['read', 'file', 'stream', 'resume'])
def test_a_request_that_did_not_run_is_retried_on_another_engine(route):
    def check(received, servers):
        assert received.startswith(b'HTTP/1.1 200')
        assert sum(bool(server.received) for server in servers) == 2

    send_request(route, serve_in_turn(NOT_RUN, make_response()), check=check)


@pytest.mark.parametrize('route', ['file', 'stream'])
def test_an_at_most_once_request_is_not_retried_after_a_lost_connection(route):
    # A second run would file an entry twice (TWICE).
    def check(received, servers):
        assert received.startswith(b'HTTP/1.1 502')
        assert sum(bool(server.received) for server in servers) == 1

    send_request(route, [serve(None), serve(None)], check=check)


def test_a_repeatable_request_is_retried_after_a_lost_connection():
    def check(received, servers):
        assert received.startswith(b'HTTP/1.1 200')
        assert sum(bool(server.received) for server in servers) == 2

    send_request('read', serve_in_turn(None, make_response()), check=check)


def test_no_retry_without_budget():
    def check(received, servers):
        assert received.startswith(b'HTTP/1.1 502')
        assert sum(bool(server.received) for server in servers) == 1

    send_request(
        'read',
        [serve(None), serve(None)],
        check=check,
        budget=BudgetRules(0, 0, 10),
    )


@pytest.mark.parametrize('status', ['503 No', '429 No', '408 No'])
def test_a_refusal_without_a_not_run_header_is_not_relayed(status):
    # Callers would read it as a guarantee that nothing ran (REFUSED).
    def check(received, _servers):
        assert received.startswith(b'HTTP/1.1 502')
        assert b'stamp' not in received

    send_request('file', [serve(make_response(status=status))], check=check)


def test_an_error_response_is_relayed_with_its_stamp():
    def check(received, _servers):
        assert received.startswith(b'HTTP/1.1 500')
        assert b'stamp' in received

    send_request('file', [serve(make_response(status='500 No'))], check=check)


@pytest.mark.parametrize(
    'invalid',
    [
        make_response().replace(b'X-Cassiarail-Server-Stamp: stamp\r\n', b''),
        make_response(headers='Content-Encoding: gzip\r\n'),
        b'HTTP/1.1 200 OK\r\nX-Cassiarail-Request-Id: r1\r\n'
        b'X-Cassiarail-Server-Stamp: s\r\nContent-Length: 9\r\n\r\nok',
    ],
)
def test_an_invalid_success_response_is_not_relayed(invalid):
    async def script(server, reader, writer):
        await server.read_request(reader)
        writer.write(invalid)
        await writer.drain()

    def check(received, _servers):
        assert received.startswith(b'HTTP/1.1 502')

    send_request('file', [script], check=check)


def test_a_request_that_no_engine_ran_gets_503_with_retry_after():
    def check(received, _servers):
        assert received.startswith(b'HTTP/1.1 503')
        assert b'retry-after' in received.lower()

    send_request('file', [serve(NOT_RUN)], check=check)


def encode_chunk(text):
    return b'%x\r\n%s\r\n' % (len(text), text)


STREAM_HEAD = (
    b'HTTP/1.1 200 OK\r\nX-Cassiarail-Request-Id: r1\r\n'
    b'X-Cassiarail-Server-Stamp: first\r\n'
    b'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n'
)


def serve_stream(*texts, ends=True, until=None):
    """Return a script that sends a stream once ``until`` is set."""

    async def script(server, reader, writer):
        await server.read_request(reader)
        if until is not None:
            await until.wait()
        writer.write(STREAM_HEAD)
        for text in texts:
            writer.write(encode_chunk(text))
        if ends:
            writer.write(b'0\r\n\r\n')
        await writer.drain()

    return script


def test_an_interrupted_stream_resumes_after_the_last_complete_event():
    # Duplicated or missing parts of two runs would break the stream (ORDER).
    async def main():
        # The first engine must break off only once the second one is known; on
        # a busy machine it could do so earlier.
        is_known = asyncio.Event()
        interrupted = ScriptedServer(
            serve_stream(
                b'id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda',
                ends=False,
                until=is_known,
            ),
        )
        resumed = ScriptedServer(serve_stream(b'id: 3\ndata: c\n\n'))
        async with interrupted, resumed, Fleet() as host:
            received = await host.send_with_successor(
                'resume', interrupted, resumed, is_known
            )
        assert received.count(b'id: 1\n') == 1
        assert received.count(b'id: 3\n') == 1
        assert received.endswith(b'0\r\n\r\n')
        assert b'last-event-id: 2' in resumed.received

    run_with_timeout(main)


def test_an_interrupted_stream_that_cannot_resume_ends_incomplete():
    def check(received, servers):
        assert b'id: 1' in received
        assert not received.endswith(b'0\r\n\r\n')
        assert sum(bool(server.received) for server in servers) == 1

    interrupted = serve_stream(b'id: 1\ndata: a\n\n', ends=False)
    send_request('stream', [interrupted, interrupted], check=check)


def test_a_timed_out_request_gets_504():
    # Otherwise callers would wait longer than the operators allow (CONFIG).
    async def silent(server, reader, _writer):
        await server.read_request(reader)
        await asyncio.Event().wait()

    def check(received, _servers):
        assert received.startswith(b'HTTP/1.1 504')

    send_request('brief', [silent], check=check)


def test_a_request_is_refused_at_once_if_the_load_takes_too_long():
    async def main():
        async with Fleet() as host:
            host.expected_s = 30.0
            received = await host.send_request('stream', MODEL_HEADER)
        assert received.startswith(b'HTTP/1.1 503')
        assert b'retry-after: 30.00' in received.lower()

    run_with_timeout(main)


def test_a_request_waits_for_a_model_that_is_loaded_in_time():
    async def main():
        async with (
            ScriptedServer(serve(make_response())) as server,
            Fleet() as host,
        ):
            pending = asyncio.ensure_future(
                host.send_request('read', MODEL_HEADER)
            )
            while not list(host.waits):
                await asyncio.sleep(0.001)
            host.add(server, 'i-0')
            received = await pending
        assert received.startswith(b'HTTP/1.1 200')

    run_with_timeout(main)


def test_a_waiting_request_is_refused_once_its_model_would_come_too_late():
    # On days of heavy load, rare models were not loaded as estimated, and
    # requests for them were refused only at the end of their time.
    async def main():
        async with Fleet() as host:
            pending = asyncio.ensure_future(
                host.send_request('stream', MODEL_HEADER)
            )
            while not list(host.waits):
                await asyncio.sleep(0.001)
            host.expected_s = 30.0
            received = await pending
        assert received.startswith(b'HTTP/1.1 503')
        assert b'retry-after: 30.00' in received.lower()

    run_with_timeout(main)


def test_a_stopping_host_responds_to_waiting_requests():
    # A request that was read must not end without a response (LOST).
    async def main():
        async with Fleet() as host:
            pending = asyncio.ensure_future(
                host.send_request('read', MODEL_HEADER)
            )
            while not list(host.waits):
                await asyncio.sleep(0.001)
            host.forwarder.refuse_new()
            assert (await pending).startswith(b'HTTP/1.1 503')

    run_with_timeout(main)


def test_a_host_without_configuration_refuses_with_503():
    # A 404 would deny a route that the configuration allows (DENIED).
    async def main():
        async with Fleet(configuration=None) as host:
            assert (await host.send_request('read')).startswith(b'HTTP/1.1 503')

    run_with_timeout(main)


def test_an_unknown_path_gets_404():
    async def main():
        async with Fleet() as host:
            assert (await host.send_request('none')).startswith(b'HTTP/1.1 404')

    run_with_timeout(main)


def test_leaving_targets_get_no_requests():
    async def main():
        async with (
            ScriptedServer(serve(make_response())) as server,
            Fleet() as host,
        ):
            host.add(server, 'i-0', is_leaving=True)
            host.expected_s = 30.0
            received = await host.send_request('stream', MODEL_HEADER)
            assert received.startswith(b'HTTP/1.1 503')
            assert not server.received

    run_with_timeout(main)


def test_a_target_that_leaves_while_a_connection_opens_gets_no_request():
    # The request was sent although the target left after it was chosen.
    async def main():
        async with (
            ScriptedServer(serve(make_response())) as server,
            Fleet() as host,
        ):
            host.add(server, 'i-0')
            acquire = host.pool.acquire

            async def acquire_slowly(*args):
                connection = await acquire(*args)
                host.directory.mark_leaving(('i-0', 1))
                return connection

            host.pool.acquire = acquire_slowly
            received = await host.send_request('file', body=b'body')
            assert received.startswith(b'HTTP/1.1 503')
            assert not server.received

    run_with_timeout(main)


def test_a_filing_completes_after_its_caller_disconnects():
    # A closed connection to the engine could leave a filing half done.
    async def script(server, reader, writer):
        await server.read_request(reader)
        server.got_request.set()
        await server.may_respond.wait()
        writer.write(make_response())
        await writer.drain()
        server.is_open = not reader.at_eof()
        server.done.set()

    async def main():
        async with ScriptedServer(script) as server, Fleet() as host:
            server.got_request, server.may_respond, server.done = (
                asyncio.Event() for _each in range(3)
            )
            host.add(server, 'i-0')
            _reader, writer = await asyncio.open_connection(*host.address)
            writer.write(encode_request('file'))
            await server.got_request.wait()
            writer.close()
            while host.listener.in_progress and host.listener.open_connections:
                await asyncio.sleep(0.001)
            server.may_respond.set()
            await server.done.wait()
            assert server.is_open

    run_with_timeout(main)


def test_the_longest_prefix_selects_the_route():
    longer = make_route('read/x', RouteKind.IDEMPOTENT)
    configuration = CONFIGURATION._replace(
        routes=(*CONFIGURATION.routes, longer),
    )
    assert configuration.find_route('h.example', '/read/x/1') == longer
    assert configuration.find_route('h.example', '/read/y').name == 'read'
    assert configuration.find_route('other', '/read/y') is None


def test_an_older_configuration_never_replaces_a_newer_one():
    host = Fleet(CONFIGURATION._replace(version=5))
    assert not host.current_configuration.offer(
        CONFIGURATION._replace(version=4)
    )
    assert host.current_configuration.current.version == 5
