"""Test that a status that is none is never passed on as an answer.

An engine in trouble sent an answer with status 000, and the caller got it.
"""

import pytest

from tests.edge.harness import Fleet, make_response, serve, serve_in_turn
from tests.http1.wire import ScriptedServer, run_with_timeout

STATUS_LINES = [
    '000 Trouble',
    '099 Trouble',
    '600 Trouble',
    '999 Trouble',
    '0200 OK',
    '20 OK',
    '2O0 OK',
    '-20 OK',
    '101 Switching Protocols',
    '200 O\x00K',
    '200 O\x0bK',
    '200 O\x7fK',
]


@pytest.mark.parametrize('status_line', STATUS_LINES)
@pytest.mark.parametrize('route', ['file', 'stream'])
def test_a_request_that_runs_at_most_once_may_have_run(route, status_line):
    async def main():
        broken = serve(make_response(b'broken', status_line))
        async with ScriptedServer(broken) as server, Fleet() as host:
            host.add(server, 'i-0')
            received = await host.send_request(route)
            assert received.startswith(b'HTTP/1.1 502 ')
            assert b'broken' not in received
            assert server.received

    run_with_timeout(main)


@pytest.mark.parametrize('status_line', STATUS_LINES)
def test_a_repeatable_request_is_answered_by_another_target(status_line):
    async def main():
        scripts = serve_in_turn(
            make_response(b'broken', status_line), make_response(b'sound')
        )
        async with (
            ScriptedServer(scripts[0]) as first,
            ScriptedServer(scripts[1]) as second,
            Fleet() as host,
        ):
            host.add(first, 'i-0')
            host.add(second, 'i-1')
            received = await host.send_request('read')
            assert received.startswith(b'HTTP/1.1 200 ')
            assert received.endswith(b'sound')

    run_with_timeout(main)


def test_a_target_that_sends_such_statuses_is_ejected():
    async def main():
        broken = serve(*[make_response(b'broken', '999 Trouble')] * 99)
        names = ('i-0', 'i-1', 'i-2')
        async with (
            ScriptedServer(broken) as first,
            ScriptedServer(broken) as second,
            ScriptedServer(broken) as third,
            Fleet() as host,
        ):
            for name, server in zip(names, (first, second, third), strict=True):
                host.add(server, name)
            # At least one of three gets five in a row.
            for number in range(13):
                # Equal requests that fail are refused as those that crash.
                await host.send_request('file', body=b'%d' % number)
            assert any(map(host.outliers.is_ejected, names))

    run_with_timeout(main)


@pytest.mark.parametrize('status', [100, 102, 103, 199])
def test_informational_responses_are_not_passed_on(status):
    async def main():
        sent = b'HTTP/1.1 %d X\r\n\r\n' % status + make_response(b'sound')
        async with ScriptedServer(serve(sent)) as server, Fleet() as host:
            host.add(server, 'i-0')
            received = await host.send_request('file')
            assert received.startswith(b'HTTP/1.1 200 ')
            assert received.endswith(b'sound')

    run_with_timeout(main)


def test_informational_responses_without_end_are_an_error():
    async def main():
        sent = b'HTTP/1.1 102 X\r\n\r\n' * 10_000 + make_response(b'sound')
        async with ScriptedServer(serve(sent)) as server, Fleet() as host:
            host.add(server, 'i-0')
            received = await host.send_request('file')
            assert received.startswith(b'HTTP/1.1 502 ')

    run_with_timeout(main)


def test_an_informational_response_after_the_final_one_is_not_passed_on():
    async def main():
        late = make_response(b'sound') + b'HTTP/1.1 102 X\r\n\r\n'
        script = serve(late, make_response(b'next'))
        async with ScriptedServer(script) as server, Fleet() as host:
            host.add(server, 'i-0')
            first = await host.send_request('read')
            assert first.endswith(b'sound')
            second = await host.send_request('read')
            assert second.startswith(b'HTTP/1.1 200 ')

    run_with_timeout(main)
