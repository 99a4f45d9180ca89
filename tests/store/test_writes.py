"""Test that conditional writes apply exactly once despite lost responses."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cassiarail.core.clock import ManualClock
from cassiarail.core.exceptions import (
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    VersionConflictError,
)
from cassiarail.core.loops import run_virtual
from cassiarail.store.backends.memory import MemoryObjectStore
from cassiarail.store.writes import ConditionalWriter


def make_writer(store, seed=1):
    return ConditionalWriter(store, ManualClock(), random.Random(seed))


def increment(document):
    return {'count': (document or {'count': 0})['count'] + 1}


@given(st.lists(st.sampled_from(['plain', 'lose', 'drop']), max_size=30))
def test_accepted_updates_are_applied_exactly_once(faults):
    """Guard against applying a write twice after a lost response."""
    store = MemoryObjectStore()

    async def main():
        writers = [make_writer(store, seed) for seed in (1, 2)]
        for turn, fault in enumerate(faults):
            store.injected_faults.lose_responses = int(fault == 'lose')
            store.injected_faults.drop_writes = int(fault == 'drop')
            await writers[turn % 2].update('counter', 'a', increment)

    run_virtual(main)
    found = store.peek('counter', 'a')
    assert (found.document['count'] if found else 0) == len(faults)


@pytest.mark.parametrize('later_writes', [1, 10, 40])
def test_overwritten_write_is_not_applied_again(later_writes):
    """Guard against a repeated write if others write before the read-back."""
    store = MemoryObjectStore()

    class InterferingStore(MemoryObjectStore):
        async def read(self, kind, name):
            for _turn in range(self.pending):
                self.pending -= 1
                await make_writer(store, 100 + self.pending).update(
                    kind, name, increment
                )
            return await store.read(kind, name)

        async def replace(self, kind, name, document, version):
            return await store.replace(kind, name, document, version)

    interfering_store = InterferingStore()
    interfering_store.pending = later_writes

    async def main():
        base = await make_writer(store).create('counter', 'a', {'count': 0})
        store.injected_faults.lose_responses = 1
        writer = make_writer(interfering_store, 9)
        try:
            await writer.replace(base, increment(base.document))
        except StoreOutcomeUnknownError:
            assert later_writes == 40
        else:
            assert later_writes < 16

    run_virtual(main)
    assert store.peek('counter', 'a').document['count'] == later_writes + 1


def test_outage_is_reported_as_not_written():
    """Guard against reporting a write that took effect as unavailable."""
    store = MemoryObjectStore()
    store.injected_faults.outage = True

    async def main():
        with pytest.raises(StoreUnavailableError):
            await make_writer(store).create('a', 'b', {})

    run_virtual(main)
    assert store.peek('a', 'b') is None


def test_outage_after_a_lost_response_stays_unknown():
    """Guard against an outage turning an unknown outcome into not written."""
    store = MemoryObjectStore()

    class OutageAfterWrite(MemoryObjectStore):
        async def create(self, kind, name, document):
            await store.create(kind, name, document)
            self.injected_faults.outage = True
            raise StoreOutcomeUnknownError('lost')

        async def read(self, kind, name):
            raise StoreUnavailableError('out')

    async def main():
        with pytest.raises(StoreOutcomeUnknownError):
            await make_writer(OutageAfterWrite()).create('a', 'b', {})

    run_virtual(main)


def test_second_creator_gets_a_conflict():
    """Guard against two operators both creating the same object."""
    store = MemoryObjectStore()

    async def main():
        await make_writer(store, 1).create('a', 'b', {'by': 1})
        store.injected_faults.drop_writes = 1
        with pytest.raises(VersionConflictError):
            await make_writer(store, 2).create('a', 'b', {'by': 2})

    run_virtual(main)
    assert store.peek('a', 'b').document['by'] == 1
