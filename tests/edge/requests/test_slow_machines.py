"""Test how requests are sent to targets whose machines are slow."""

import asyncio

from tests.edge.harness import Fleet, make_response
from tests.http1.wire import ScriptedServer, run_with_timeout

REQUESTS = 12
LOAD_HEADER = 'X-Cassiarail-Server-Load: 0,0,8,{}\r\n'


def answer_after(delay_s, percent):
    """Return the script of an engine that reports how slow it is."""

    async def script(server, reader, writer):
        while True:
            await server.read_request(reader)
            await asyncio.sleep(delay_s)
            headers = LOAD_HEADER.format(percent)
            writer.write(make_response(headers=headers))
            await writer.drain()

    return script


def test_requests_prefer_the_fast_machine_and_the_slow_one_is_not_ejected():
    # A slow machine was chosen as often as a fast one.
    async def main():
        async with (
            Fleet() as host,
            ScriptedServer(answer_after(0.02, 250)) as slow,
            ScriptedServer(answer_after(0.01, 100)) as fast,
        ):
            host.add(slow, 'i-slow')
            host.add(fast, 'i-fast')
            for _ in range(REQUESTS):
                received = await host.send_request('file', body=b'body')
                assert received.startswith(b'HTTP/1.1 200')
            assert not host.outliers.is_ejected('i-slow')
            for target in host.directory:
                assert not host.reachability.is_unreachable(target.identity)
            assert slow.received.count(b'POST') <= 2
            assert fast.received.count(b'POST') >= REQUESTS - 2

    run_with_timeout(main)
