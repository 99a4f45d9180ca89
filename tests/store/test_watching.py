"""Test that no change is missed when watches fail or history expires."""

import random

import anyio

from cassiarail.core.clock import LoopClock
from cassiarail.core.exceptions import (
    StoreUnavailableError,
    WatchExpiredError,
)
from cassiarail.core.loops import run_virtual
from cassiarail.store.backends.base import Listing, StoredObject, WatchBatch
from cassiarail.store.monitor import Checkable, StoreMonitor
from cassiarail.store.pacing import ContinuousPacer
from cassiarail.store.watching import Follower, KindWatcher


def entry(name, version):
    return StoredObject('k', name, version, {})


class ScriptedStore(Checkable):
    """Return scripted listings and watch batches, then wait forever."""

    def __init__(self, *script):
        self.script = list(script)
        self.calls = []
        self.reachable = True
        self.reconnects = 0

    async def list_objects(self, kind, prefix=''):
        return await self.next_response('list')

    async def watch(self, kind, after, timeout_s, prefix=''):
        return await self.next_response(f'watch {after}')

    async def next_response(self, call):
        self.calls.append(call)
        if not self.script:
            await anyio.sleep_forever()
        step = self.script.pop(0)
        if isinstance(step, Exception):
            raise step
        return step

    async def check(self):
        if not self.reachable:
            raise StoreUnavailableError('down')
        return 1

    def reconnect(self):
        self.reconnects += 1


class RecordingFollower(Follower):
    def __init__(self):
        self.applied = []

    def apply_listing(self, listing):
        self.applied.append([stored.name for stored in listing.entries])

    def apply_changes(self, batch):
        self.applied.append([stored.name for stored in batch.entries])


def follow(store, during=None):
    follower = RecordingFollower()

    async def main():
        clock = LoopClock()
        watcher = KindWatcher(store, 'k', follower, clock, random.Random(1))
        async with anyio.create_task_group() as group:
            group.start_soon(watcher.run)
            if during is not None:
                await during(watcher, clock)
            await clock.sleep(10)
            group.cancel_scope.cancel()

    run_virtual(main)
    return follower.applied


def test_watch_continues_from_last_returned_revision():
    store = ScriptedStore(
        Listing(3, [entry('a', 3)]),
        WatchBatch(5, [entry('b', 5)], []),
    )
    assert follow(store) == [['a'], ['b']]
    assert store.calls == ['list', 'watch 3', 'watch 5']


def test_expired_watch_lists_again():
    store = ScriptedStore(Listing(3, []), WatchExpiredError('gone'))
    follow(store)
    assert store.calls == ['list', 'watch 3', 'list']


def test_interrupted_watch_lists_again():
    # The history between the failure and the next watch may have expired.
    store = ScriptedStore(
        Listing(3, []),
        StoreUnavailableError('cut'),
        Listing(9, [entry('a', 9)]),
    )
    assert follow(store) == [[], ['a']]
    assert store.calls == ['list', 'watch 3', 'list', 'watch 9']


def test_wait_hanging_after_an_outage_is_cancelled():
    # Its response is lost, so changes would be missed for half a minute.
    store = ScriptedStore(Listing(3, []))

    async def during(watcher, clock):
        await clock.sleep(1)
        monitor = StoreMonitor(
            store,
            [watcher],
            clock,
            lambda: 0.5,
            lambda _version: None,
            lambda: 1.0,
            lambda: None,
        )
        await monitor.check_once()
        store.reachable = False
        await monitor.check_once()
        store.reachable = True
        await monitor.check_once()

    follow(store, during)
    assert store.calls == ['list', 'watch 3', 'watch 3']
    assert store.reconnects == 1


class SilentStore(ScriptedStore):
    """Return empty batches after their wait, and lose one response."""

    def __init__(self):
        super().__init__()
        self.lost_from = float('inf')

    async def list_objects(self, kind, prefix=''):
        return Listing(3, [])

    async def watch(self, kind, after, timeout_s, prefix=''):
        now = anyio.current_time()
        if now >= self.lost_from:
            await anyio.sleep_forever()
        await anyio.sleep(timeout_s)
        return WatchBatch(after, [], [])


def measure_ages(lost_from):
    """Return how old the state of a watch is, twice a second."""
    store = SilentStore()
    ages = []

    async def main():
        clock = LoopClock()
        store.lost_from = lost_from
        watcher = KindWatcher(
            store,
            'k',
            RecordingFollower(),
            clock,
            random.Random(1),
            ContinuousPacer(0.4),
        )
        async with anyio.create_task_group() as group:
            group.start_soon(watcher.run)
            for _step in range(20):
                await clock.sleep(0.5)
                ages.append(clock.monotonic() - watcher.confirmed_at)
            group.cancel_scope.cancel()

    run_virtual(main)
    return ages


def test_each_response_confirms_that_nothing_has_changed():
    assert max(measure_ages(float('inf'))) <= 0.4 * 1.1 + 1e-6


def test_state_ages_while_the_response_of_a_watch_is_lost():
    # Cheap reads succeeded on another connection, so that all hosts relied on
    # a leader whose own watch had been silent for seconds.
    assert measure_ages(5)[-1] >= 4
