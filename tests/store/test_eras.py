"""Test that nothing read before a store came back is taken for newer."""

import random

import anyio
import pytest

from cassiarail.core.clock import LoopClock
from cassiarail.core.exceptions import (
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    VersionConflictError,
    WatchExpiredError,
)
from cassiarail.core.loops import run_virtual
from cassiarail.store.backends.memory import MemoryObjectStore
from cassiarail.store.eras import StoreEra, Version
from cassiarail.store.watching import Follower, KindWatcher
from cassiarail.store.writes import ConditionalWriter
from tests.store.driving import drive


def make_store(era=1):
    store = MemoryObjectStore()
    store.begin_era(era)
    return store


def test_versions_are_ordered_by_era_and_then_by_revision():
    ordered = [(0, 7), (1, 3), (1, 9), (2, 1), (40, 2**39)]
    packed = [Version(*parts).pack() for parts in ordered]
    assert packed == sorted(packed)
    assert [Version.unpack(each) for each in packed] == ordered


def test_a_store_without_eras_has_plain_revisions():
    store = MemoryObjectStore()
    assert drive(store.create('k', 'n', {})) == 1
    assert drive(store.list_objects('k')).revision == 1
    assert not store.era.may_have_lost


def test_the_first_era_that_a_process_learns_is_no_change():
    era = StoreEra()
    calls = []
    era.listeners.append(lambda: calls.append(era.current))
    assert era.read_answer('1', is_write=False) == 1
    assert not calls
    assert not era.may_have_lost
    assert era.read_answer('2', is_write=False) == 2
    assert calls == [2]
    assert era.may_have_lost


def test_an_answer_without_an_era_belongs_to_the_current_one():
    era = StoreEra()
    era.observe(3, 'answer')
    assert era.read_answer(None, is_write=True) == 3


def test_a_late_answer_of_an_earlier_era_proves_nothing():
    era = StoreEra()
    era.observe(2, 'peer')
    with pytest.raises(StoreUnavailableError):
        era.read_answer('1', is_write=False)
    with pytest.raises(StoreOutcomeUnknownError):
        era.read_answer('1', is_write=True)


def test_a_write_based_on_an_earlier_era_is_not_sent():
    # The revision was given out again to what another wrote.
    store = make_store()
    drive(store.create('k', 'n', {'by': 'x'}))
    copy = store.take_copy()
    version = drive(
        store.replace('k', 'n', {'by': 'me'}, store.peek('k', 'n').version)
    )
    store.come_back(copy)
    other = store.open_client()
    again = drive(
        other.replace('k', 'n', {'by': 'other'}, store.peek('k', 'n').version)
    )
    assert Version.unpack(version).number == Version.unpack(again).number
    drive(store.read('k', 'n'))
    with pytest.raises(VersionConflictError):
        drive(store.replace('k', 'n', {'by': 'me'}, version))
    assert store.peek('k', 'n').document == {'by': 'other'}


def test_a_write_that_crosses_a_change_is_read_back():
    # The client didn't know the new era when it sent the write.
    store = make_store()
    version = drive(store.create('k', 'n', {}))
    store.come_back(store.take_copy())
    with pytest.raises(StoreOutcomeUnknownError):
        drive(store.replace('k', 'n', {'x': 1}, version))


def test_a_lost_write_is_applied_again_by_its_writer():
    async def main():
        store = make_store()
        clock = LoopClock()
        writer = ConditionalWriter(store, clock, random.Random(1))
        await writer.create('k', 'n', {'count': 0})
        copy = store.take_copy()

        def increment(document):
            return {**document, 'count': document['count'] + 1}

        await writer.update('k', 'n', increment)
        store.come_back(copy)
        await writer.update('k', 'n', increment)
        assert store.peek('k', 'n').document['count'] == 1
        with pytest.raises(VersionConflictError):
            await writer.replace(
                store.peek('k', 'n')._replace(version=Version(1, 1).pack()), {}
            )

    run_virtual(main)


def test_a_watch_of_an_earlier_era_expires():
    store = make_store()
    drive(store.create('k', 'n', {}))
    revision = drive(store.list_objects('k')).revision
    store.come_back(store.take_copy())
    for _ in range(2):
        # The first watch learns the era, the second one is not sent.
        with pytest.raises(WatchExpiredError):
            drive(store.watch('k', revision, 1))
    assert store.calls['watch'] == 2


class NameFollower(Follower):
    def __init__(self):
        self.names = set()

    def apply_listing(self, listing):
        self.names = {entry.name for entry in listing.entries}

    def apply_changes(self, batch):
        self.names |= {entry.name for entry in batch.entries}
        self.names -= set(batch.deleted)


def test_a_watcher_lists_again_in_a_new_era():
    async def main():
        clock = LoopClock()
        store = make_store()
        follower = NameFollower()
        watcher = KindWatcher(store, 'k', follower, clock, random.Random(1))
        copy = store.take_copy()
        async with anyio.create_task_group() as group:
            group.start_soon(watcher.run)
            await store.create('k', 'lost', {})
            await clock.sleep(1)
            assert follower.names == {'lost'}
            store.come_back(copy)
            await store.create('k', 'new', {})
            await clock.sleep(0.1)
            assert follower.names == {'new'}
            assert store.calls['list'] == 2
            group.cancel_scope.cancel()

    run_virtual(main)


def test_a_wait_of_an_earlier_era_is_cancelled_when_another_call_learns_it():
    async def main():
        clock = LoopClock()
        store = make_store()

        async def wait_forever(_kind, after, _timeout_s):
            # It waits although the store has come back.
            store.era.require_history(after)
            await anyio.sleep_forever()

        store.watch = wait_forever
        watcher = KindWatcher(
            store, 'k', NameFollower(), clock, random.Random(1)
        )
        store.era.listeners.append(
            lambda: watcher.resume_in_era(store.era.current)
        )
        async with anyio.create_task_group() as group:
            group.start_soon(watcher.run)
            await clock.sleep(1)
            store.come_back(store.take_copy())
            await store.read('other', 'n')
            await clock.sleep(0.1)
            assert store.calls['list'] == 2
            group.cancel_scope.cancel()

    run_virtual(main)
