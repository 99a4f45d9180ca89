"""Guard against callers that hold up what they send or don't read responses.

90 callers that sent 4 MB of a body each and held back the rest, within all
limits of the configuration, took a host to 390 MB.
"""

import asyncio
import contextlib
import tracemalloc

from tests.edge.harness import (
    HOST,
    MAX_CONNECTIONS,
    Fleet,
    make_response,
    serve,
)
from tests.http1.wire import ScriptedServer, run_with_timeout

CALLERS = 90
MEGABYTE = 1_048_576
HELD_BYTES = 4_000_000
MAX_GROWTH_BYTES = 100 * MEGABYTE
HEAD = (
    f'POST /file/x HTTP/1.1\r\nHost: {HOST}\r\nX-Cassiarail-Request-Id: r1\r\n'
    'X-Cassiarail-Deadline-Ms: 8000\r\n'
)


async def hold_body(host, release):
    """Send most of a body; return the response, if there is one."""
    reader, writer = await asyncio.open_connection(*host.address)
    try:
        with contextlib.suppress(ConnectionError):
            writer.write(f'{HEAD}Content-Length: 4100000\r\n\r\n'.encode())
            for _chunk in range(HELD_BYTES // 100_000):
                writer.write(b'x' * 100_000)
                await writer.drain()
            await release.wait()
        with contextlib.suppress(ConnectionError):
            return await asyncio.wait_for(reader.read(-1), 5)
        return b''
    finally:
        writer.close()


def test_bodies_that_are_held_back_leave_memory_to_others():
    async def main():
        release = asyncio.Event()
        async with (
            ScriptedServer(serve(make_response(b'done'))) as engine,
            Fleet() as host,
        ):
            host.add(engine, 'i-0')
            tracemalloc.start()
            held = [
                asyncio.ensure_future(hold_body(host, release))
                for _number in range(CALLERS)
            ]
            await asyncio.sleep(1)
            _current, peak_bytes = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            received = await host.send_request('file', '', b'y' * MEGABYTE)
            release.set()
            responses = await asyncio.gather(*held)
        assert peak_bytes < MAX_GROWTH_BYTES
        assert received.endswith(b'done')
        # Those that lost their memory were told that nothing has run.
        refused = [each for each in responses if b' 503 ' in each[:16]]
        assert len(refused) > CALLERS / 2
        assert all(b'retry-after' in each.lower() for each in refused)

    run_with_timeout(main)


def test_responses_that_are_not_read_leave_memory_to_others():
    async def main():
        async with (
            ScriptedServer(
                serve(*[make_response(b'z' * HELD_BYTES)] * CALLERS)
            ) as engine,
            Fleet() as host,
        ):
            host.add(engine, 'i-0')
            readers = []
            for _number in range(CALLERS):
                reader, writer = await asyncio.open_connection(
                    *host.address, limit=1000
                )
                writer.write(f'{HEAD}Content-Length: 0\r\n\r\n'.encode())
                readers.append((reader, writer))
            await asyncio.sleep(3)
            unsent = sum(
                connection._transport.get_write_buffer_size()
                for connection in host.listener._connections
                if connection._transport
            )
            used_bytes = host.client_memory.used_bytes
            for _reader, writer in readers:
                writer.close()
        assert unsent < 50 * MEGABYTE
        assert used_bytes <= 32 * MEGABYTE

    run_with_timeout(main)


def test_nothing_is_left_of_a_request_that_has_ended():
    async def main():
        async with (
            ScriptedServer(serve(make_response(b'done'))) as engine,
            Fleet() as host,
        ):
            host.add(engine, 'i-0')
            await host.send_request('file', '', b'y' * MEGABYTE)
            await asyncio.sleep(0.05)
            assert not host.client_memory.used_bytes
            assert not host.client_memory._reservations

    run_with_timeout(main)


def test_idle_connections_yield_to_new_ones():
    # 4,300 idle connections used all descriptors of a host: it accepted none
    # of its callers and reached neither its targets nor the store.
    async def main():
        async with (
            ScriptedServer(serve(make_response(b'done'))) as engine,
            Fleet() as host,
        ):
            host.add(engine, 'i-0')
            idle = [
                await asyncio.open_connection(*host.address)
                for _number in range(2 * MAX_CONNECTIONS)
            ]
            received = await host.send_request('file')
            await asyncio.sleep(0.05)
            assert received.endswith(b'done')
            assert host.listener.open_connections <= MAX_CONNECTIONS
            # The first ones have been idle for the longest time.
            assert await asyncio.wait_for(idle[0][0].read(1), 1) == b''
            assert not idle[-1][0].at_eof()
            for _reader, writer in idle:
                writer.close()

    run_with_timeout(main)


def test_a_connection_with_a_request_in_progress_is_not_closed():
    async def main():
        release = asyncio.Event()

        async def respond(server, reader, writer):
            await server.read_request(reader)
            await release.wait()
            writer.write(make_response(b'done'))
            await writer.drain()

        async with ScriptedServer(respond) as engine, Fleet() as host:
            host.add(engine, 'i-0')
            pending = asyncio.ensure_future(host.send_request('file'))
            while not engine.received:
                await asyncio.sleep(0.001)
            writers = [
                (await asyncio.open_connection(*host.address))[1]
                for _number in range(2 * MAX_CONNECTIONS)
            ]
            release.set()
            assert (await pending).endswith(b'done')
            for writer in writers:
                writer.close()

    run_with_timeout(main)
