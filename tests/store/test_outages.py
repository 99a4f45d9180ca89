"""Test that only an outage makes a host wait for missing entries."""

import random

import anyio

from cassiarail.core.clock import LoopClock, ManualClock
from cassiarail.core.exceptions import StoreUnavailableError
from cassiarail.core.loops import run_virtual
from cassiarail.store.backends.base import Listing
from cassiarail.store.outages import OutageDetector
from cassiarail.store.watching import KindWatcher
from tests.store.test_watching import RecordingFollower, ScriptedStore

MIN_OUTAGE_S = 2.4


def make_detector():
    clock = ManualClock()
    recoveries = []
    detector = OutageDetector(clock, MIN_OUTAGE_S, lambda: recoveries.append(1))
    return detector, clock, recoveries


def test_timely_successes_report_no_outage():
    detector, clock, recoveries = make_detector()
    for _response in range(5):
        clock.advance(MIN_OUTAGE_S - 0.1)
        detector.record_success()
    assert not recoveries


def test_outage_is_reported_once_at_first_success():
    detector, clock, recoveries = make_detector()
    detector.record_success()
    clock.advance(MIN_OUTAGE_S)
    detector.record_success()
    detector.record_success()
    assert len(recoveries) == 1


def test_single_interrupted_watch_is_no_outage():
    # Entries removed meanwhile still received requests for two seconds.
    store = ScriptedStore(
        Listing(3, []),
        StoreUnavailableError('cut'),
        Listing(9, []),
    )
    recoveries = []

    async def main():
        clock = LoopClock()
        detector = OutageDetector(
            clock, MIN_OUTAGE_S, lambda: recoveries.append(1)
        )
        watcher = KindWatcher(
            store,
            'k',
            RecordingFollower(),
            clock,
            random.Random(1),
            on_response=detector.record_success,
        )
        async with anyio.create_task_group() as group:
            group.start_soon(watcher.run)
            await clock.sleep(10)
            group.cancel_scope.cancel()

    run_virtual(main)
    assert store.calls == ['list', 'watch 3', 'list', 'watch 9']
    assert not recoveries
