"""Test that a host makes few calls while the object API doesn't respond.

In an outage of 7 s, the watches, the election and the registration of each
host repeated about 80 failing calls.
"""

import random

import anyio

from cassiarail.core.clock import LoopClock
from cassiarail.core.exceptions import StoreUnavailableError
from cassiarail.core.loops import run_virtual
from cassiarail.store.backends.base import Listing, ObjectStore, WatchBatch
from cassiarail.store.monitor import (
    CHECK_INTERVAL_S,
    Checkable,
    StoreMonitor,
)
from cassiarail.store.observed import ObservedStore
from cassiarail.store.watching import KindWatcher
from tests.store.test_watching import RecordingFollower

OUTAGE_S = 7.0
KINDS = ('targets', 'configuration')


class UnstableStore(ObjectStore, Checkable):
    """Refuse all calls during an outage; watches return nothing."""

    def __init__(self):
        self.is_down = False
        self.calls = []

    def record(self, call):
        self.calls.append(call)
        if self.is_down:
            raise StoreUnavailableError('down')

    async def read(self, kind, name):
        self.record('read')

    async def list_objects(self, kind, prefix=''):
        self.record('list')
        return Listing(1, [])

    async def create(self, kind, name, document):
        self.record('create')
        return 1

    async def replace(self, kind, name, document, version):
        self.record('replace')
        return version + 1

    async def delete(self, kind, name, version):
        self.record('delete')

    async def watch(self, kind, after, timeout_s, prefix=''):
        self.record('watch')
        await anyio.sleep(timeout_s)
        if self.is_down:
            raise StoreUnavailableError('down')
        return WatchBatch(after, [], [])

    async def check(self):
        self.record('check')

    def reconnect(self):
        """Do nothing."""


async def play_outage(seconds=OUTAGE_S):
    """Return the calls in an outage, and the seconds until lists follow it."""
    clock = LoopClock()
    generator = random.Random(1)
    backend = UnstableStore()
    store = ObservedStore(backend, backend, clock)
    breaker = store.breaker
    watchers = [
        KindWatcher(
            store,
            kind,
            RecordingFollower(),
            clock,
            generator,
            breaker=breaker,
        )
        for kind in KINDS
    ]
    monitor = StoreMonitor(
        store,
        watchers,
        clock,
        generator.random,
        lambda _version: None,
        lambda: CHECK_INTERVAL_S,
        lambda: None,
        breaker,
    )
    async with anyio.create_task_group() as group:
        for component in (*watchers, monitor):
            group.start_soon(component.run)
        await clock.sleep(35)
        backend.calls.clear()
        backend.is_down = True
        await clock.sleep(seconds)
        calls = list(backend.calls)
        backend.is_down = False
        returned_at = clock.monotonic()
        while backend.calls.count('list') < calls.count('list') + 1:
            await clock.sleep(0.01)
        group.cancel_scope.cancel()
    return calls, clock.monotonic() - returned_at


def test_one_component_checks_the_store_in_an_outage():
    calls, _returned_s = run_virtual(play_outage, 35)
    retries = [call for call in calls if call != 'check']
    assert len(retries) <= 2 * len(KINDS)
    assert calls.count('check') <= 35 / (CHECK_INTERVAL_S / 2)


def test_calls_continue_within_a_check_after_an_outage():
    _calls, returned_s = run_virtual(play_outage, 35)
    assert returned_s <= CHECK_INTERVAL_S + 0.1


def test_a_failed_call_is_repeated_as_soon_as_a_check_succeeds():
    async def main():
        clock = LoopClock()
        backend = UnstableStore()
        store = ObservedStore(backend, backend, clock)
        breaker = store.breaker
        breaker.record_failure('interrupted')
        monitor = StoreMonitor(
            store,
            [],
            clock,
            lambda: 0.5,
            lambda _version: None,
            lambda: CHECK_INTERVAL_S,
            lambda: None,
            breaker,
        )
        async with anyio.create_task_group() as group:
            group.start_soon(monitor.run)
            await clock.sleep(0)
            await breaker.wait_until_closed()
            group.cancel_scope.cancel()
        return clock.monotonic()

    assert run_virtual(main) <= CHECK_INTERVAL_S
