"""Guard that only an outage makes a host wait for entries that are missing."""

import random

import anyio

from cassiarail.core.clock import LoopClock, ManualClock
from cassiarail.core.exceptions import StoreUnavailableError
from cassiarail.core.loops import run_virtual
from cassiarail.store.backends.base import Listing
from cassiarail.store.outages import OutageDetector
from cassiarail.store.watching import KindWatcher
from tests.store.test_watching import Record, ScriptedStore

LAPSE_S = 2.4


def make_contact():
    clock = ManualClock()
    returns = []
    contact = OutageDetector(clock, LAPSE_S, lambda: returns.append(1))
    return contact, clock, returns


def test_answers_in_time_end_no_outage():
    contact, clock, returns = make_contact()
    for _answer in range(5):
        clock.advance(LAPSE_S - 0.1)
        contact.record_success()
    assert not returns


def test_the_first_answer_after_an_outage_tells_it_once():
    contact, clock, returns = make_contact()
    contact.record_success()
    clock.advance(LAPSE_S)
    contact.record_success()
    contact.record_success()
    assert len(returns) == 1


def test_a_single_watch_that_was_cut_is_no_outage():
    # Entries removed meanwhile were kept, and got requests, for two seconds.
    store = ScriptedStore(
        Listing(3, []),
        StoreUnavailableError('cut'),
        Listing(9, []),
    )
    returns = []

    async def main():
        clock = LoopClock()
        contact = OutageDetector(clock, LAPSE_S, lambda: returns.append(1))
        watcher = KindWatcher(
            store,
            'k',
            Record(),
            clock,
            random.Random(1),
            on_response=contact.record_success,
        )
        async with anyio.create_task_group() as group:
            group.start_soon(watcher.run)
            await clock.sleep(10)
            group.cancel_scope.cancel()

    run_virtual(main)
    assert store.calls == ['list', 'watch 3', 'list', 'watch 9']
    assert not returns
