"""Test that a connection keeps a bounded number of bytes."""

import asyncio
import contextlib

from cassiarail.http1.client_memory import build_client_memory
from tests.http1.test_listener import CLOSE, ListenerHarness, get
from tests.http1.wire import run_with_timeout

COUNT = 200
LARGE = bytes(100_000)
# Bytes of one response, and what may wait before it.
MAX_UNSENT_BYTES = 120_000
# A piece, and the bytes at which reading pauses.
MAX_AHEAD_BYTES = 2 * 16_384


@contextlib.asynccontextmanager
async def send_ahead(sent, handler):
    """Send without reading; yield the harness, the connection and a reader."""
    async with ListenerHarness(handler=handler) as harness:
        reader, writer = await asyncio.open_connection(
            *harness.address, limit=1000
        )
        writer.write(sent)
        while not harness.listener.in_progress:
            await asyncio.sleep(0.01)
        # The host handles whatever it will handle.
        await asyncio.sleep(0.3)
        (connection,) = harness.listener._connections
        yield harness, connection, reader
        writer.close()


async def send_large(exchange):
    exchange.respond(200, [], LARGE)


def test_a_request_waits_until_the_client_reads_the_responses_before():
    sent = get() * (COUNT - 1) + get(headers=CLOSE)

    async def main():
        async with send_ahead(sent, send_large) as (
            harness,
            connection,
            reader,
        ):
            while not connection.has_unsent_bytes:
                await asyncio.sleep(0.01)
            unsent_bytes = connection._transport.get_write_buffer_size()
            assert 0 < unsent_bytes <= MAX_UNSENT_BYTES
            assert connection._writer.number < COUNT
            assert harness.listener.limit_counts['unread'] == 1
            received = await reader.read(-1)
        assert received.count(b'HTTP/1.1 200') == COUNT

    run_with_timeout(main)


def test_requests_sent_ahead_stay_with_the_kernel():
    release = asyncio.Event()

    async def wait(exchange):
        await release.wait()
        exchange.respond(200, [], b'')

    sent = get() * 9999 + get(headers=CLOSE)

    async def main():
        async with send_ahead(sent, wait) as (harness, connection, reader):
            assert connection.ahead_bytes <= MAX_AHEAD_BYTES
            assert harness.listener.memory.used_bytes <= MAX_AHEAD_BYTES
            assert harness.listener.limit_counts['ahead'] == 1
            release.set()
            received = await reader.read(-1)
            assert not harness.listener.memory.used_bytes
        assert received.count(b'HTTP/1.1 200') == 10_000

    run_with_timeout(main)


def test_bodies_sent_ahead_are_answered_in_order():
    async def main():
        async with ListenerHarness() as harness:
            harness._limits = harness._limits._replace(body_max_bytes=200_000)
            reader, writer = await asyncio.open_connection(
                *harness.address, limit=200_000
            )
            for number in range(5):
                body = b'%d' % number * 100_000
                writer.write(get(headers=b'Content-Length: 100000\r\n') + body)
            for number in range(5):
                answer = await reader.readuntil(b'>')
                assert answer.endswith(b'<%s>' % (b'%d' % number * 100_000))
            writer.close()

    run_with_timeout(main)


def test_what_was_sent_ahead_is_dropped_if_others_need_its_memory():
    release = asyncio.Event()

    async def wait(exchange):
        await release.wait()
        exchange.respond(200, [], b'')

    async def main():
        async with ListenerHarness(handler=wait) as harness:
            harness.listener.memory = build_client_memory(20_000)
            callers = [
                await asyncio.open_connection(*harness.address)
                for _caller in range(3)
            ]
            for _reader, writer in callers:
                writer.write(get() * 9999)
                await asyncio.sleep(0.05)
            assert harness.listener.memory.used_bytes <= 20_000
            release.set()
            received = [await reader.read(-1) for reader, _ in callers[:2]]
            # The request that was being handled is answered.
            assert [each.count(b'HTTP/1.1 200') for each in received] == [1, 1]
            for _reader, writer in callers:
                writer.close()

    run_with_timeout(main)
