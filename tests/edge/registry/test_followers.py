"""Test what a host keeps when the store comes back from a copy."""

import asyncio
import random

import pytest

from cassiarail.core.clock import LoopClock
from cassiarail.core.loops import run_virtual
from cassiarail.edge.registry.configuration import CurrentConfiguration
from cassiarail.edge.registry.followers import (
    ConfigurationFollower,
    TargetFollower,
)
from cassiarail.edge.registry.restored import RESTORED_HOLD_S
from cassiarail.edge.registry.targets import TargetDirectory
from cassiarail.platform.dialect import PlatformDialect
from cassiarail.store.backends.memory import MemoryObjectStore
from cassiarail.store.pacing import ContinuousPacer
from cassiarail.store.watching import KindWatcher
from tests.edge.fleet.test_configuration_copies import KEY, make_document
from tests.edge.registry.test_targets import TARGET

CONFIGURATIONS, TARGETS = 'configurations', 'targets'


class EntryDialect(PlatformDialect):
    """Take the target of the tests from an entry that says how it is."""

    def decode_target(self, instance, document):
        return TARGET._replace(instance=instance, **document)


class Host:
    """Follow a store with a client of its own."""

    def __init__(self, store, clock):
        self.current = CurrentConfiguration()
        self.directory = TargetDirectory(clock.monotonic)
        self.applied = []
        followers = {
            CONFIGURATIONS: ConfigurationFollower(
                self.current,
                EntryDialect(),
                'current',
                lambda found, _document: self.applied.append(found.version),
            ),
            TARGETS: TargetFollower(
                self.directory, EntryDialect(), lambda: None
            ),
        }
        client = store.open_client()
        self.tasks = [
            asyncio.create_task(
                KindWatcher(
                    client,
                    kind,
                    follower,
                    clock,
                    random.Random(1),
                    ContinuousPacer(0.4),
                ).run()
            )
            for kind, follower in followers.items()
        ]

    def find_account(self, key):
        return self.current.current.accounts.find_by_key(key)


class Operator:
    """Write what engines and the operator write."""

    def __init__(self, store):
        self._store = store.open_client()

    async def configure(self, version, keys):
        await self._write(
            CONFIGURATIONS, 'current', make_document(version, keys)
        )

    async def register(self, **fields):
        await self._write(TARGETS, 'i', fields)

    async def remove(self):
        found = await self._store.read(TARGETS, 'i')
        await self._store.delete(TARGETS, 'i', found.version)

    async def _write(self, kind, name, document):
        found = await self._store.read(kind, name)
        if found is None:
            await self._store.create(kind, name, document)
        else:
            await self._store.replace(kind, name, document, found.version)
        # The hosts see it.
        await asyncio.sleep(1)


def run_drill(script):
    async def main():
        clock = LoopClock()
        store = MemoryObjectStore(clock)
        store.begin_era(1)
        hosts = []

        def start():
            hosts.append(Host(store, clock))
            return hosts[-1]

        try:
            await script(store, Operator(store), start)
        finally:
            for task in [task for host in hosts for task in host.tasks]:
                task.cancel()

    run_virtual(main)


def test_a_configuration_never_goes_back_and_a_key_stays_away():
    async def script(store, operator, start):
        host = start()
        await operator.configure(1, [KEY, 'other'])
        copy = store.take_copy()
        await operator.configure(2, ['other'])
        assert host.find_account(KEY) is None
        store.come_back(copy)
        await asyncio.sleep(1)
        assert host.current.get_version() == 2
        assert host.find_account(KEY) is None
        await operator.configure(2, ['other'])
        await operator.configure(3, ['other', 'third'])
        assert host.applied == [1, 2, 3]
        assert host.find_account('third')

    run_drill(script)


def test_a_host_that_starts_in_between_takes_the_configuration_again():
    async def script(store, operator, start):
        start()
        await operator.configure(1, [KEY, 'other'])
        copy = store.take_copy()
        await operator.configure(2, ['other'])
        store.come_back(copy)
        late = start()
        await asyncio.sleep(1)
        assert late.current.get_version() == 1
        # The revision is the one that version 2 had before.
        await operator.configure(2, ['other'])
        assert late.current.get_version() == 2
        assert late.find_account(KEY) is None

    run_drill(script)


@pytest.mark.parametrize('is_removed', [False, True])
def test_a_drain_stays_obeyed_when_the_store_has_lost_it(is_removed):
    async def script(store, operator, start):
        host = start()
        await operator.register()
        assert host.directory.of_service('s')
        copy = store.take_copy()
        await operator.register(is_leaving=True)
        if is_removed:
            await operator.remove()
            await asyncio.sleep(1)
        store.come_back(copy)
        for _ in range(100):
            host.directory.expire()
            assert not host.directory.of_service('s')
            await asyncio.sleep(0.1)
        # Another incarnation under the name isn't drained.
        await operator.register(born_ms=TARGET.born_ms + 1)
        assert host.directory.of_service('s')

    run_drill(script)


def test_a_restored_target_that_stays_listed_is_used_again():
    # The listing that showed it is as new as its entry.
    async def script(store, operator, start):
        host = start()
        await operator.register()
        copy = store.take_copy()
        await operator.remove()
        await asyncio.sleep(1)
        store.come_back(copy)
        await asyncio.sleep(RESTORED_HOLD_S - 1)
        host.directory.expire()
        assert not host.directory.of_service('s')
        await asyncio.sleep(2)
        host.directory.expire()
        assert host.directory.of_service('s')

    run_drill(script)
