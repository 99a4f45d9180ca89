"""Guard against targets that send responses without end, all at once.

Each response has a bound. Their sum had none: one engine with 32 places made a
host use 325 MB, and the platform ends a process above its memory.
"""

import asyncio
import tracemalloc

import pytest

from tests.edge.harness import Fleet, make_response, serve
from tests.http1.wire import ScriptedServer, run_with_timeout

REQUESTS = 48
MEGABYTE = 1_048_576
# What a host of 300 MB has beside what a process needs by itself.
MAX_GROWTH_BYTES = 100 * MEGABYTE
CHUNK = b'%x\r\n%s\r\n' % (65_536, b'x' * 65_536)


def send_endless(status):
    head = (
        f'HTTP/1.1 {status}\r\nX-Cassiarail-Request-Id: r1\r\n'
        'X-Cassiarail-Server-Stamp: stamp\r\n'
        'Transfer-Encoding: chunked\r\n\r\n'
    ).encode()

    async def script(server, reader, writer):
        await server.read_request(reader)
        writer.write(head)
        while not writer.is_closing():
            writer.write(CHUNK)
            await writer.drain()
            # Lets all responses grow at the same time.
            await asyncio.sleep(0)

    return script


async def send_all(host):
    pending = [
        asyncio.ensure_future(host.send_request('file'))
        for _number in range(REQUESTS)
    ]
    return await asyncio.gather(*pending)


@pytest.mark.parametrize('status', ['500 Broken', '200 OK', '404 No'])
def test_endless_responses_leave_memory_to_the_other_requests(status):
    async def main():
        async with (
            ScriptedServer(send_endless(status)) as faulty,
            Fleet() as host,
        ):
            host.add(faulty, 'i-0')
            tracemalloc.start()
            responses = await send_all(host)
            _current, peak_bytes = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            # Nothing is left of the responses.
            assert not host.memory.used_bytes
        assert all(each.startswith(b'HTTP/1.1 502') for each in responses)
        assert peak_bytes < MAX_GROWTH_BYTES

    run_with_timeout(main)


def test_sound_requests_are_served_beside_endless_responses():
    async def main():
        async with (
            ScriptedServer(send_endless('200 OK')) as faulty,
            ScriptedServer(serve(make_response(b'y' * 500_000))) as sound,
            Fleet() as host,
        ):
            host.add(faulty, 'i-0')
            pending = asyncio.ensure_future(send_all(host))
            while faulty.connections < REQUESTS:
                await asyncio.sleep(0.001)
            host.add(sound, 'i-1')
            host.directory.remove('i-0')
            received = await host.send_request('file')
            await pending
        assert received.startswith(b'HTTP/1.1 200')
        assert received.endswith(b'y' * 500_000)

    run_with_timeout(main)
