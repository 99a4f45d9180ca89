"""Test that callers outside the protocol's usual ways get a refusal or answer.

The process lives on, keeps a bounded number of bytes, and serves others.
"""

import asyncio

import pytest

from cassiarail.core.loops import run_virtual
from cassiarail.http1.listener import Http1Listener
from cassiarail.http1.pool import Address
from tests.http1.test_listener import CLOSE, ListenerHarness, get
from tests.http1.test_turns import Peer
from tests.http1.wire import reset, run_with_timeout, send_and_receive

MAX_CONNECTIONS = 10
# What the heads of these tests may take: the limit of the harness and a piece.
MAX_KEPT_BYTES = 2000 + 16_384
FIRST = b'GET /a HTTP/1.1\r\nHost: h\r\n'


async def respond(exchange):
    exchange.respond(200, [], b'answer')


def build_listener():
    return Http1Listener(
        Address('127.0.0.1', 0), respond, max_connections=MAX_CONNECTIONS
    )


@pytest.mark.parametrize('begin', [b'G', FIRST])
def test_a_newcomer_is_served_beside_heads_that_are_held_back(begin):
    async def main():
        listener = build_listener()
        crowd = []
        for _ in range(MAX_CONNECTIONS):
            crowd.append(Peer(listener))
            crowd[-1].deliver(begin)
            await asyncio.sleep(0.01)
        newcomers = [Peer(listener) for _ in range(3)]
        for newcomer in newcomers:
            newcomer.deliver(get())
        await asyncio.sleep(0.01)
        for newcomer in newcomers:
            assert newcomer.received.startswith(b'HTTP/1.1 200')
        refused = [b'HTTP/1.1 408' in peer.received for peer in crowd]
        assert refused[:3] == [True] * 3
        assert not any(refused[3:])
        assert listener.open_connections == MAX_CONNECTIONS
        assert listener.limit_counts['connections'] == 3

    run_virtual(main)


def test_a_newcomer_is_closed_if_all_others_are_in_progress():
    async def main():
        listener = build_listener()
        head = b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n'
        crowd = [Peer(listener) for _ in range(MAX_CONNECTIONS)]
        for peer in crowd:
            peer.deliver(head)
        newcomer = Peer(listener)
        await asyncio.sleep(0)
        assert newcomer.is_closing()
        for peer in crowd:
            peer.deliver(b'123456789')
        await asyncio.sleep(0)
        assert all(b' 200 ' in peer.received for peer in crowd)

    run_virtual(main)


def exchange_bytes(sent):
    """Return what one caller receives, and what another does afterwards."""
    outcomes = []

    async def main():
        async with ListenerHarness() as harness:
            for each in (sent, get(headers=CLOSE)):
                received = await send_and_receive(
                    harness.address, each, until_close=True
                )
                outcomes.append(received)
            assert not harness.listener.memory.used_bytes

    run_with_timeout(main)
    assert outcomes[1].startswith(b'HTTP/1.1 200')
    return outcomes[0]


@pytest.mark.parametrize(
    ('sent', 'status'),
    [
        (b'OPTIONS * HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n', 200),
        (b'CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n', 200),
        (get(headers=CLOSE + b'Upgrade: h2c\r\n'), 200),
        (get(headers=b'Connection: upgrade, close\r\nUpgrade: x\r\n'), 200),
        (b'GET /a HTTP/1.0\r\n\r\n', 200),
        (b'GET /a HTTP/1.2\r\nHost: h\r\nConnection: close\r\n\r\n', 200),
        (b'GET /a HTTP/2.0\r\nHost: h\r\n\r\n', 505),
        (b'GET /a HTTP/0.9\r\n\r\n', 505),
        (b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n', 505),
        (b'GET /a\r\n\r\n', 400),
        (b'\x16\x03\x01\x02\x00\x01\x00\x01', 400),
        (b'\x00' * 40_000, 400),
        (b'GET /%s HTTP/1.1\r\n' % (b'a' * 40_000), 431),
        (FIRST + b'X: y\r\n' * 40_000, 431),
        (FIRST, 408),
        (b'G', 408),
    ],
)
def test_each_method_version_and_broken_head_gets_its_status(sent, status):
    received = exchange_bytes(sent)
    assert received.startswith(b'HTTP/1.1 %d ' % status)
    assert received.count(b'HTTP/1.1 ') == 1


def test_a_response_to_head_has_no_body():
    sent = b'HEAD /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n'
    received = exchange_bytes(sent)
    assert received.startswith(b'HTTP/1.1 200')
    assert received.endswith(b'\r\n\r\n')


def test_a_body_sent_after_a_refusal_is_not_kept():
    async def main():
        async with ListenerHarness() as harness:
            reader, writer = await asyncio.open_connection(*harness.address)
            writer.write(get(headers=b'Content-Length: 9999999\r\n'))
            writer.write(bytes(2000))
            assert (await reader.readuntil(b'\r\n')).startswith(b'HTTP/1.1 413')
            (connection,) = harness.listener._connections
            for _ in range(50):
                writer.write(get() * 1000)
                await asyncio.sleep(0)
            await writer.drain()
            kept = len(connection._parser.trailing_data[0])
            assert kept <= MAX_KEPT_BYTES
            assert not harness.listener.memory.used_bytes
            assert not harness.requests
            writer.close()

    run_with_timeout(main)


@pytest.mark.parametrize('sent', [b'G', FIRST, get() * 500])
@pytest.mark.parametrize('ends_by_reset', [True, False])
def test_callers_that_reset_or_half_close_leave_nothing(sent, ends_by_reset):
    async def main():
        async with ListenerHarness() as harness:
            writers = []
            for _ in range(MAX_CONNECTIONS):
                _, writer = await asyncio.open_connection(*harness.address)
                writer.write(sent)
                writers.append(writer)
            await asyncio.sleep(0.05)
            for writer in writers:
                if ends_by_reset:
                    reset(writer)
                else:
                    writer.write_eof()
            while harness.listener.open_connections:
                await asyncio.sleep(0.01)
            assert not harness.listener.memory.used_bytes
            assert not harness.listener.turns.queue
            received = await send_and_receive(
                harness.address, get(headers=CLOSE)
            )
            assert received.startswith(b'HTTP/1.1 200')
            for writer in writers:
                writer.close()

    run_with_timeout(main)
