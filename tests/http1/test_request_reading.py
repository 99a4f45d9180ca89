"""Test that a client can't occupy the event loop or keep what it has sent."""

import asyncio
import gc
import weakref

import pytest

from cassiarail.core.loops import run_virtual
from cassiarail.http1.request_reading import EVENTS_PER_TURN
from cassiarail.http1.turns import STARTS_PER_PASS
from tests.http1.test_listener import get
from tests.http1.test_outsiders import build_listener
from tests.http1.test_turns import Peer

HEAD = b'POST /a HTTP/1.1\r\nHost: h\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
CHUNKS = 2000
BODY = b'1\r\nx\r\n' * CHUNKS
CROWD = 10


class CountingParser:
    """Count the events that are parsed."""

    def __init__(self, parser):
        self.events = 0
        self._parser = parser

    def __getattr__(self, name):
        return getattr(self._parser, name)

    def next_event(self):
        self.events += 1
        return self._parser.next_event()


def count_events(listener):
    """Return the parsers of all connections, which count their events."""
    parsers = []
    for connection in listener._connections:
        connection._parser = CountingParser(connection._parser)
        parsers.append(connection._parser)
    return parsers


def test_tiny_chunks_are_parsed_in_turns():
    async def main():
        listener = build_listener()
        crowd = [Peer(listener) for _ in range(CROWD)]
        parsers = count_events(listener)
        for peer in crowd:
            peer.deliver(CHUNKED + BODY + b'0\r\n\r\n')
        # A pass of the loop starts a few turns, whatever the crowd has sent.
        bound = STARTS_PER_PASS * EVENTS_PER_TURN
        parsed = sum(parser.events for parser in parsers)
        assert parsed <= CROWD * EVENTS_PER_TURN
        while any(b' 200 ' not in peer.received for peer in crowd):
            await asyncio.sleep(0)
            before, parsed = (
                parsed,
                sum(parser.events for parser in parsers),
            )
            assert parsed - before <= bound
        assert listener.limit_counts['turns']

    run_virtual(main)


def test_a_request_is_answered_while_a_crowd_sends_tiny_chunks():
    async def main():
        listener = build_listener()
        crowd = [Peer(listener) for _ in range(CROWD - 1)]
        for peer in crowd:
            peer.deliver(CHUNKED + BODY)
        newcomer = Peer(listener)
        newcomer.deliver(get())
        for _ in range(3):
            await asyncio.sleep(0)
        assert b' 200 ' in newcomer.received
        assert not any(b' 200 ' in peer.received for peer in crowd)

    run_virtual(main)


def test_a_body_in_the_buffer_is_handled_as_the_listener_stops():
    async def main():
        listener = build_listener()
        peer = Peer(listener)
        peer.deliver(CHUNKED + BODY + b'0\r\n\r\n')
        listener.refuse_unread()
        await asyncio.sleep(0)
        assert b' 200 ' in peer.received

    run_virtual(main)


@pytest.mark.parametrize(
    'sent',
    [
        HEAD + b'Content-Length: 5000000\r\n\r\n',
        CHUNKED + b'5000000\r\n' + b'x' * 5_000_000,
    ],
    ids=['length', 'chunk'],
)
def test_a_body_above_the_limit_is_refused_before_its_end(sent):
    async def main():
        listener = build_listener()
        peer = Peer(listener)
        peer.deliver(sent)
        await asyncio.sleep(0)
        assert peer.received.startswith(b'HTTP/1.1 413 ')
        assert not listener.memory.used_bytes

    run_virtual(main)


def test_fields_of_a_head_are_counted_until_the_response_ends():
    async def main():
        listener = build_listener()
        peer = Peer(listener)
        fields = b''.join(b'%x:\r\n' % number for number in range(2000))
        peer.deliver(HEAD + fields + b'Content-Length: 1\r\n\r\n')
        assert listener.memory.used_bytes > 2000 * 100
        peer.deliver(b'x')
        await asyncio.sleep(0)
        assert b' 200 ' in peer.received
        assert not listener.memory.used_bytes
        (connection,) = listener._connections
        assert not connection._writer.head.headers
        assert not connection._writer.body

    run_virtual(main)


@pytest.mark.parametrize('sent', [get(), CHUNKED + BODY, HEAD])
def test_a_closed_connection_is_freed_without_a_collection(sent):
    async def main():
        listener = build_listener()
        peer = Peer(listener)
        peer.deliver(sent)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        (connection,) = listener._connections
        kept = weakref.ref(connection)
        peer.abort()
        for _ in range(3):
            await asyncio.sleep(0)
        del connection
        peer._protocol = None
        assert kept() is None

    gc.disable()
    try:
        run_virtual(main)
    finally:
        gc.enable()
