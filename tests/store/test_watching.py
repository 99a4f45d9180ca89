"""Guard that no change is missed when watches are cut or lose history."""

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
from cassiarail.store.watching import Follower, KindWatcher


def entry(name, version):
    return StoredObject('k', name, version, {})


class ScriptedStore(Checkable):
    """Answer lists and watches from a script; then wait for ever."""

    def __init__(self, *script):
        self.script = list(script)
        self.calls = []
        self.reachable = True
        self.reconnects = 0

    async def list_objects(self, kind, prefix=''):
        return await self.answer('list')

    async def watch(self, kind, after, timeout_s, prefix=''):
        return await self.answer(f'watch {after}')

    async def answer(self, call):
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


class Record(Follower):
    def __init__(self):
        self.seen = []

    def apply_listing(self, listing):
        self.seen.append([each.name for each in listing.entries])

    def apply_changes(self, batch):
        self.seen.append([each.name for each in batch.entries])


def follow(store, act=None):
    record = Record()

    async def main():
        clock = LoopClock()
        watcher = KindWatcher(store, 'k', record, clock, random.Random(1))
        async with anyio.create_task_group() as group:
            group.start_soon(watcher.run)
            if act is not None:
                await act(watcher, clock)
            await clock.sleep(10)
            group.cancel_scope.cancel()

    run_virtual(main)
    return record.seen


def test_a_watch_goes_on_from_the_revision_of_the_last_answer():
    store = ScriptedStore(
        Listing(3, [entry('a', 3)]),
        WatchBatch(5, [entry('b', 5)], []),
    )
    assert follow(store) == [['a'], ['b']]
    assert store.calls == ['list', 'watch 3', 'watch 5']


def test_lost_history_is_listed_again():
    store = ScriptedStore(Listing(3, []), WatchExpiredError('gone'))
    follow(store)
    assert store.calls == ['list', 'watch 3', 'list']


def test_a_cut_watch_is_listed_again():
    # The history between the cut and the next watch may have been dropped.
    store = ScriptedStore(
        Listing(3, []),
        StoreUnavailableError('cut'),
        Listing(9, [entry('a', 9)]),
    )
    assert follow(store) == [[], ['a']]
    assert store.calls == ['list', 'watch 3', 'list', 'watch 9']


def test_a_wait_that_an_outage_left_hanging_is_given_up():
    # Its answer is lost, so changes would go unseen for half a minute.
    store = ScriptedStore(Listing(3, []))

    async def act(watcher, clock):
        await clock.sleep(1)
        guard = StoreMonitor(
            store,
            [watcher],
            clock,
            lambda: 0.5,
            lambda _version: None,
            lambda: 1.0,
            lambda: None,
        )
        await guard.check_once()
        store.reachable = False
        await guard.check_once()
        store.reachable = True
        await guard.check_once()

    follow(store, act)
    assert store.calls == ['list', 'watch 3', 'watch 3']
    assert store.reconnects == 1
