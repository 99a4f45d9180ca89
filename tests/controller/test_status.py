"""Guard the use of statuses of other data centres."""

import random

import pytest

from cassiarail.controller.leadership import _list_preceding
from cassiarail.controller.status import StatusRepository
from cassiarail.core.clock import ManualClock
from cassiarail.core.exceptions import StaleFenceError
from cassiarail.core.loops import run_virtual
from cassiarail.store.backends.memory import MemoryObjectStore
from cassiarail.store.writes import ConditionalWriter


def make_status(name, fence=1, live=('a|v1|', 'b|v1|x')):
    return {
        'data_centre': name,
        'fence': fence,
        'targets': [{'name': 't', 'live': list(live)}],
    }


def make_repository(store, name, clock):
    writer = ConditionalWriter(store, clock, random.Random(name))
    return StatusRepository(writer, name, clock)


def test_only_current_ready_models_of_given_data_centres_count():
    """An unload must not rely on a stale status or on an adapter."""
    clock = ManualClock()
    store = MemoryObjectStore()

    async def main():
        local = make_repository(store, 'bex', clock)
        await make_repository(store, 'riburg', clock).publish(
            make_status('riburg')
        )
        await local.refresh()
        assert local.has_copy(['riburg'], 'a')
        assert not local.has_copy(['riburg'], 'b')
        assert not local.has_copy([], 'a')
        clock.advance(21)
        await local.refresh()
        assert not local.has_copy(['riburg'], 'a')

    run_virtual(main)


def test_superseded_lease_holder_does_not_publish():
    """A paused leader must not replace the status of the next one."""
    store = MemoryObjectStore()

    async def main():
        repository = make_repository(store, 'bex', ManualClock())
        await repository.publish(make_status('bex', fence=3))
        with pytest.raises(StaleFenceError):
            await repository.publish(make_status('bex', fence=2))

    run_virtual(main)
    assert store.peek('status', 'bex').document['fence'] == 3


def test_two_data_centres_never_rely_on_each_other():
    """Each could otherwise unload its copy because of the other's copy."""
    names = ['bex', 'schweizerhalle', 'riburg']
    declarations = {'fleet': {'data_centres': names}}
    relied_on = {name: _list_preceding(declarations, name) for name in names}
    assert not any(
        first in relied_on[second] and second in relied_on[first]
        for first in names
        for second in names
    )
