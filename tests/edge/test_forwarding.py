"""Guard what callers and engines see of the forwarding path."""

import asyncio

import pytest

from cassiarail.edge.configuration import RouteKind
from cassiarail.limits.shared_budget import BudgetRules
from tests.edge.fleet import (
    CONFIGURATION,
    NOT_RUN,
    Fleet,
    encode_request,
    make_response,
    make_route,
    serve,
    serve_in_turn,
)
from tests.http1.wire import ScriptedServer, play

WANT = 'X-Cassiarail-Model: m\r\n'


def ask_engines(route, scripts, headers='', check=None, **fleet):
    """Send one request to engines with these scripts."""

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

    play(main)


def test_an_answer_and_the_request_pass_unchanged():
    def check(received, servers):
        assert received.startswith(b'HTTP/1.1 200')
        assert b'x-cassiarail-server-stamp: stamp' in received.lower()
        assert received.endswith(b'\r\n\r\nok')
        seen = servers[0].received
        assert seen.startswith(b'POST /file/x?q=1 HTTP/1.1')
        assert seen.endswith(b'body')
        assert b'x-cassiarail-expect-instance: i-0' in seen

    ask_engines('file', [serve(make_response())], check=check)


@pytest.mark.parametrize(
    'name',
    ['Hold', 'Pin-Ms', 'Kv-Backup', 'Req-Priority', 'Expect-Instance'],
)
def test_headers_of_the_system_are_not_taken_from_callers(name):
    # A caller that sets them would reserve memory or pick engines (UNASKED).
    def check(_received, servers):
        assert b'forged' not in servers[0].received

    ask_engines(
        'file',
        [serve(make_response())],
        f'X-Cassiarail-{name}: forged\r\nKv-From: forged\r\n',
        check,
    )


@pytest.mark.parametrize('route', ['read', 'file', 'stream', 'resume'])
def test_a_promise_of_not_run_allows_another_engine(route):
    def check(received, servers):
        assert received.startswith(b'HTTP/1.1 200')
        assert sum(bool(server.received) for server in servers) == 2

    ask_engines(route, serve_in_turn(NOT_RUN, make_response()), check=check)


@pytest.mark.parametrize('route', ['file', 'stream'])
def test_a_lost_answer_is_not_asked_for_again(route):
    # A second run would file an entry twice (TWICE).
    def check(received, servers):
        assert received.startswith(b'HTTP/1.1 502')
        assert sum(bool(server.received) for server in servers) == 1

    ask_engines(route, [serve(None), serve(None)], check=check)


def test_a_lost_answer_of_a_repeatable_request_is_asked_for_again():
    def check(received, servers):
        assert received.startswith(b'HTTP/1.1 200')
        assert sum(bool(server.received) for server in servers) == 2

    ask_engines('read', serve_in_turn(None, make_response()), check=check)


def test_no_repeat_without_budget():
    def check(received, servers):
        assert received.startswith(b'HTTP/1.1 502')
        assert sum(bool(server.received) for server in servers) == 1

    ask_engines(
        'read',
        [serve(None), serve(None)],
        check=check,
        budget=BudgetRules(0, 0, 10),
    )


@pytest.mark.parametrize('status', ['503 No', '429 No', '408 No'])
def test_a_refusal_without_a_promise_is_not_passed_on(status):
    # Callers would take it for a promise that nothing ran (REFUSED).
    def check(received, _servers):
        assert received.startswith(b'HTTP/1.1 502')
        assert b'stamp' not in received

    ask_engines('file', [serve(make_response(status=status))], check=check)


def test_a_failure_of_the_engine_passes_with_its_stamp():
    def check(received, _servers):
        assert received.startswith(b'HTTP/1.1 500')
        assert b'stamp' in received

    ask_engines('file', [serve(make_response(status='500 No'))], check=check)


@pytest.mark.parametrize(
    'spoiled',
    [
        make_response().replace(b'X-Cassiarail-Server-Stamp: stamp\r\n', b''),
        make_response(headers='Content-Encoding: gzip\r\n'),
        b'HTTP/1.1 200 OK\r\nX-Cassiarail-Request-Id: r1\r\n'
        b'X-Cassiarail-Server-Stamp: s\r\nContent-Length: 9\r\n\r\nok',
    ],
)
def test_a_spoiled_success_never_reaches_the_caller(spoiled):
    async def script(server, reader, writer):
        await server.read_request(reader)
        writer.write(spoiled)
        await writer.drain()

    def check(received, _servers):
        assert received.startswith(b'HTTP/1.1 502')

    ask_engines('file', [script], check=check)


def test_a_not_run_answer_of_all_engines_is_refused_with_a_time():
    def check(received, _servers):
        assert received.startswith(b'HTTP/1.1 503')
        assert b'retry-after' in received.lower()

    ask_engines('file', [serve(NOT_RUN)], check=check)


def chunk(text):
    return b'%x\r\n%s\r\n' % (len(text), text)


STREAM_HEAD = (
    b'HTTP/1.1 200 OK\r\nX-Cassiarail-Request-Id: r1\r\n'
    b'X-Cassiarail-Server-Stamp: first\r\n'
    b'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n'
)


def play_stream(*texts, ends=True, until=None):
    """Return a script that answers once ``until`` is set."""

    async def script(server, reader, writer):
        await server.read_request(reader)
        if until is not None:
            await until.wait()
        writer.write(STREAM_HEAD)
        for text in texts:
            writer.write(chunk(text))
        if ends:
            writer.write(b'0\r\n\r\n')
        await writer.drain()

    return script


def test_a_broken_stream_is_resumed_after_its_last_whole_event():
    # Pieces of two runs that are joined or lost break the stream (ORDER).
    async def main():
        # The first engine breaks off once the second one is known; on a busy
        # machine it did so before.
        is_known = asyncio.Event()
        broken = ScriptedServer(
            play_stream(
                b'id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda',
                ends=False,
                until=is_known,
            ),
        )
        rest = ScriptedServer(play_stream(b'id: 3\ndata: c\n\n'))
        async with broken, rest, Fleet() as host:
            host.add(broken, 'i-0')
            asking = asyncio.ensure_future(host.send_request('resume'))
            while not broken.received:
                await asyncio.sleep(0.001)
            host.add(rest, 'i-1')
            is_known.set()
            received = await asking
        assert received.count(b'id: 1\n') == 1
        assert received.count(b'id: 3\n') == 1
        assert received.endswith(b'0\r\n\r\n')
        assert b'last-event-id: 2' in rest.received

    play(main)


def test_a_broken_stream_that_may_not_run_again_ends_incomplete():
    def check(received, servers):
        assert b'id: 1' in received
        assert not received.endswith(b'0\r\n\r\n')
        assert sum(bool(server.received) for server in servers) == 1

    broken = play_stream(b'id: 1\ndata: a\n\n', ends=False)
    ask_engines('stream', [broken, broken], check=check)


def test_a_late_request_gets_a_final_answer_at_its_time_out():
    # Callers would wait for longer than the operators allow (CONFIG).
    async def silent(server, reader, _writer):
        await server.read_request(reader)
        await asyncio.Event().wait()

    def check(received, _servers):
        assert received.startswith(b'HTTP/1.1 504')

    ask_engines('brief', [silent], check=check)


def test_a_request_that_no_engine_can_serve_in_time_is_refused_at_once():
    async def main():
        async with Fleet() as host:
            host.expected_s = 30.0
            received = await host.send_request('stream', WANT)
        assert received.startswith(b'HTTP/1.1 503')
        assert b'retry-after: 30.00' in received.lower()

    play(main)


def test_a_request_waits_for_a_model_that_comes_soon():
    async def main():
        async with (
            ScriptedServer(serve(make_response())) as server,
            Fleet() as host,
        ):
            asking = asyncio.ensure_future(host.send_request('read', WANT))
            while not list(host.waits):
                await asyncio.sleep(0.001)
            host.add(server, 'i-0')
            received = await asking
        assert received.startswith(b'HTTP/1.1 200')

    play(main)


def test_a_stopping_host_answers_the_requests_that_wait():
    # A request that was read must not end without an answer (LOST).
    async def main():
        async with Fleet() as host:
            asking = asyncio.ensure_future(host.send_request('read', WANT))
            while not list(host.waits):
                await asyncio.sleep(0.001)
            host.forwarder.refuse_new()
            assert (await asking).startswith(b'HTTP/1.1 503')

    play(main)


def test_a_host_without_configuration_refuses_with_503():
    # A 404 would deny what the configuration allows (DENIED).
    async def main():
        async with Fleet(configuration=None) as host:
            assert (await host.send_request('read')).startswith(b'HTTP/1.1 503')

    play(main)


def test_an_unknown_path_gets_404():
    async def main():
        async with Fleet() as host:
            assert (await host.send_request('none')).startswith(b'HTTP/1.1 404')

    play(main)


def test_leaving_targets_get_no_requests():
    async def main():
        async with (
            ScriptedServer(serve(make_response())) as server,
            Fleet() as host,
        ):
            host.add(server, 'i-0', is_leaving=True)
            host.expected_s = 30.0
            received = await host.send_request('stream', WANT)
            assert received.startswith(b'HTTP/1.1 503')
            assert not server.received

    play(main)


def test_a_target_that_leaves_while_a_connection_opens_gets_no_request():
    # The news came after the choice, and the request was sent all the same.
    async def main():
        async with (
            ScriptedServer(serve(make_response())) as server,
            Fleet() as host,
        ):
            host.add(server, 'i-0')
            acquire = host.pool.acquire

            async def acquire_slowly(*asked):
                connection = await acquire(*asked)
                host.directory.mark_leaving(('i-0', 1))
                return connection

            host.pool.acquire = acquire_slowly
            received = await host.send_request('file', body=b'body')
            assert received.startswith(b'HTTP/1.1 503')
            assert not server.received

    play(main)


def test_a_filing_runs_on_when_its_caller_leaves():
    # Torn from its engine halfway, a filing may be half done.
    async def script(server, reader, writer):
        await server.read_request(reader)
        server.asked.set()
        await server.gate.wait()
        writer.write(make_response())
        await writer.drain()
        server.is_open = not reader.at_eof()
        server.done.set()

    async def main():
        async with ScriptedServer(script) as server, Fleet() as host:
            server.asked, server.gate, server.done = (
                asyncio.Event() for _each in range(3)
            )
            host.add(server, 'i-0')
            _reader, writer = await asyncio.open_connection(*host.address)
            writer.write(encode_request('file'))
            await server.asked.wait()
            writer.close()
            while host.listener.in_progress and host.listener.open_connections:
                await asyncio.sleep(0.001)
            server.gate.set()
            await server.done.wait()
            assert server.is_open

    play(main)


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
    assert not host.in_force.offer(CONFIGURATION._replace(version=4))
    assert host.in_force.current.version == 5
