"""Test that a copy of a response is not taken for that of another attempt.

Operators of similar systems reported second copies of responses, and refusals
that were repeated.
"""

import asyncio

import pytest

from tests.edge.harness import NOT_RUN, Fleet, make_response, serve
from tests.http1.wire import ScriptedServer, run_with_timeout

# A refusal that names no request, as for one that arrived without an id.
ANONYMOUS_REFUSAL = (
    b'HTTP/1.1 503 Busy\r\nX-Cassiarail-Not-Run: 1\r\nContent-Length: 0\r\n\r\n'
)
COPY_OF_ANOTHER_REFUSAL = NOT_RUN.replace(b'r1', b'r0')


def send_twice(route, first, second):
    """Return the responses of two requests and how often each engine ran one.

    Both are sent to one engine over one connection; another engine is known
    before the second response.
    """
    outcome = []

    async def main():
        is_known = asyncio.Event()

        async def respond(server, reader, writer):
            await server.read_request(reader)
            writer.write(first)
            await server.read_request(reader)
            await is_known.wait()
            writer.write(second)
            await writer.drain()
            await reader.read()

        async with (
            ScriptedServer(respond) as engine,
            ScriptedServer(serve(make_response(b'ran twice'))) as other,
            Fleet() as host,
        ):
            host.add(engine, 'i-0')
            outcome.append(await host.send_request(route))
            pending = asyncio.ensure_future(host.send_request(route))
            while engine.received.count(b'POST') < 2:
                await asyncio.sleep(0.001)
            host.add(other, 'i-1')
            is_known.set()
            outcome.append(await pending)
            assert engine.connections == 1
            outcome.append(other.received.count(b'POST'))

    run_with_timeout(main)
    return outcome


def test_a_repeated_refusal_on_a_kept_connection_is_not_believed():
    # The caller was told "not run" for a request that the engine was running,
    # or it ran at a second engine as well.
    for copy in (ANONYMOUS_REFUSAL, COPY_OF_ANOTHER_REFUSAL):
        first, second, other_runs = send_twice(
            'file', make_response(b'one'), copy + make_response(b'two')
        )
        assert first.endswith(b'one')
        assert second.endswith(b'two')
        assert not other_runs


@pytest.mark.parametrize('has_third', [True, False])
def test_a_late_copy_of_a_refusal_is_not_taken_for_the_next_engine(has_third):
    # An engine had restarted at the address: the request ran at the new one,
    # and was refused or ran at a third one (REFUSED, TWICE).
    refusal = NOT_RUN.replace(b'503 Busy', b'421 Other')
    runs = []

    async def main():
        is_known = asyncio.Event()

        async def respond(server, reader, writer):
            while True:
                head, _body = await server.read_request(reader)
                if b'x-cassiarail-expect-instance: i-0' in head:
                    await is_known.wait()
                    writer.write(refusal)
                    continue
                runs.append('i-1')
                if server.connections == 1:
                    writer.write(refusal)
                writer.write(make_response(b'once'))

        async def run_third(server, reader, writer):
            await server.read_request(reader)
            runs.append('i-2')
            writer.write(make_response(b'twice'))
            await writer.drain()

        async with (
            ScriptedServer(respond) as engine,
            ScriptedServer(run_third) as third,
            Fleet() as host,
        ):
            host.add(engine, 'i-0')
            pending = asyncio.ensure_future(host.send_request('file'))
            while not engine.received:
                await asyncio.sleep(0.001)
            host.add(engine, 'i-1')
            is_known.set()
            if has_third:
                host.add(third, 'i-2', data_centre='far')
            received = await pending
        assert runs == ['i-1']
        assert received.endswith(b'once')

    run_with_timeout(main)


def test_a_second_copy_of_a_response_reaches_no_other_caller():
    copy = make_response(b'one', request_id='r0')
    first, second, other_runs = send_twice(
        'read', make_response(b'one'), copy + make_response(b'two')
    )
    assert first.endswith(b'one')
    assert second.endswith(b'two')
    assert not other_runs
