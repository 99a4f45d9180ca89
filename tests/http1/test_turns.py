"""Test that requests sent ahead don't delay those of other callers."""

import asyncio

import pytest

from cassiarail.core.loops import run_virtual
from cassiarail.http1.assembly import ClientLimits
from cassiarail.http1.listener import Http1Listener
from cassiarail.http1.pool import Address
from cassiarail.http1.server_connections import ConnectionState
from cassiarail.http1.turns import STARTS_PER_PASS, TurnQueue
from tests.http1.test_connection_machine import CallerTransport
from tests.http1.test_listener import get

# Passes of the loop that an ordinary request takes.
PASSES = 10
CROWD = 300
AHEAD = 50


class Peer(CallerTransport):
    """Connect from a given address."""

    def __init__(self, listener, address='10.0.0.1'):
        protocol = listener._build_connection()
        super().__init__(asyncio.get_running_loop(), protocol)
        self._address = address
        protocol.connection_made(self)

    def get_extra_info(self, name, default=None):
        return (self._address, 1) if name == 'peername' else default


class Scene:
    """Count the requests of a crowd that are handled."""

    def __init__(self):
        self.handled = []
        self.listener = Http1Listener(Address('127.0.0.1', 0), self.handle)

    async def handle(self, exchange):
        self.handled.append(exchange.peer.partition(':')[0])
        if exchange.head.target == b'/ordinary':
            for _ in range(PASSES):
                await asyncio.sleep(0)
        exchange.respond(200, [], b'')

    async def open_crowd(self, size, address='10.0.0.1'):
        crowd = [Peer(self.listener, address) for _ in range(size)]
        for peer in crowd:
            peer.deliver(get() * AHEAD)
        # The first request of each is handled at once.
        await asyncio.sleep(0)
        return crowd


async def leave(crowd):
    for peer in crowd:
        peer.abort()
    # What was begun ends.
    for _ in range(3):
        await asyncio.sleep(0)


@pytest.mark.parametrize('address', ['10.0.0.1', '10.0.0.2'])
def test_an_ordinary_request_takes_its_passes_beside_a_crowd(address):
    async def main():
        scene = Scene()
        crowd = await scene.open_crowd(CROWD)
        handled = len(scene.handled)
        ordinary = Peer(scene.listener, address)
        ordinary.deliver(get(b'/ordinary'))
        for _ in range(PASSES + 1):
            await asyncio.sleep(0)
        assert ordinary.received.startswith(b'HTTP/1.1 200')
        beside = len(scene.handled) - handled - 1
        assert beside <= STARTS_PER_PASS * (PASSES + 1)
        await leave(crowd)

    run_virtual(main)


def test_all_that_was_sent_ahead_is_answered():
    async def main():
        scene = Scene()
        crowd = await scene.open_crowd(CROWD)
        for _ in range(CROWD * AHEAD):
            await asyncio.sleep(0)
        answers = {peer.received.count(b'HTTP/1.1 200') for peer in crowd}
        assert answers == {AHEAD}
        assert not scene.listener.in_progress

    run_virtual(main)


def test_clients_take_turns_whatever_connections_they_have():
    async def main():
        scene = Scene()
        crowd = await scene.open_crowd(CROWD)
        await scene.open_crowd(1, '10.0.0.2')
        handled = len(scene.handled)
        while scene.handled.count('10.0.0.2') < AHEAD:
            await asyncio.sleep(0)
        beside = scene.handled[handled:].count('10.0.0.1')
        assert beside <= STARTS_PER_PASS * 2 * AHEAD
        await leave(crowd)

    run_virtual(main)


def test_what_waits_for_its_turn_is_answered_in_a_stop():
    async def main():
        scene = Scene()
        (peer,) = await scene.open_crowd(1)
        scene.listener.is_draining = True
        while peer.received.count(b'HTTP/1.1') < 2:
            await asyncio.sleep(0)
        scene.listener.stop()
        await asyncio.sleep(0)
        assert peer.received.count(b'HTTP/1.1') == AHEAD

    run_virtual(main)


def test_a_request_that_waits_for_its_turn_is_not_too_slow():
    async def main():
        scene = Scene()
        scene.listener.limits = lambda: ClientLimits(read_timeout_s=1)
        (peer,) = await scene.open_crowd(1)
        scene.listener.turns._is_scheduled = True  # no turn comes
        await asyncio.sleep(2)
        assert b' 408 ' not in peer.received
        scene.listener.turns._run()
        for _ in range(AHEAD * 2):
            await asyncio.sleep(0)
        assert peer.received.count(b'HTTP/1.1 200') == AHEAD

    run_virtual(main)


def test_a_caller_that_leaves_gives_up_its_turn():
    async def main():
        scene = Scene()
        crowd = await scene.open_crowd(CROWD)
        await asyncio.sleep(0)
        await leave(crowd)
        handled = len(scene.handled)
        await asyncio.sleep(1)
        assert len(scene.handled) - handled <= STARTS_PER_PASS
        assert not scene.listener.turns.queue
        closed = {peer._protocol.state for peer in crowd}
        assert closed == {ConnectionState.CLOSED}

    run_virtual(main)


def test_clients_and_their_members_take_turns():
    queue = TurnQueue()
    for member in ('a1', 'a2', 'a3', 'b1', 'c1', 'c2'):
        queue.add(member[0], member)
    queue.discard('c', 'c1')
    queue.discard('d', 'd1')
    taken = []
    while queue:
        taken.append(queue.take())
    assert taken == ['a1', 'b1', 'c2', 'a2', 'a3']
    with pytest.raises(LookupError):
        queue.take()
