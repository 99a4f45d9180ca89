"""Test that hosts write their entries again when the store has lost them."""

import asyncio
import random

from prometheus_client import CollectorRegistry

from cassiarail.core.clock import LoopClock
from cassiarail.core.loops import run_virtual
from cassiarail.edge.fleet.hosts import HOST_KIND, HostRegistry
from cassiarail.store.backends.memory import MemoryObjectStore
from cassiarail.store.observed import ObservedStore
from tests.edge.crashes.test_persistence import Checks

NAMES = ('a', 'b', 'c')


class Host:
    """Register one host with a client of its own."""

    def __init__(self, store, clock, number):
        self.client = store.open_client()
        self.store = ObservedStore(
            self.client, Checks(), clock, CollectorRegistry()
        )
        address = f'10.0.0.{number}:9'
        self.registry = HostRegistry(
            self.store,
            (NAMES[number], {'address': address, 'data_centre': 'd'}),
            lambda: not number,
            clock,
            random.Random(number),
        )
        self.task = asyncio.create_task(self.registry.run())


def run_hosts(script):
    async def main():
        clock = LoopClock()
        store = MemoryObjectStore(clock)
        store.begin_era(1)
        empty = store.take_copy()
        hosts = [Host(store, clock, each) for each in range(len(NAMES))]
        await asyncio.sleep(2)
        try:
            await script(store, empty, hosts)
        finally:
            for host in hosts:
                host.task.cancel()

    run_virtual(main)


async def spread_era(hosts):
    """Let the leader's update tell all hosts, and wait for their calls."""
    for host in hosts:
        host.client.calls.clear()
        host.store.era.observe(2, 'peer')
    await asyncio.sleep(1.5)


def test_lost_entries_of_hosts_are_written_again():
    async def script(store, empty, hosts):
        store.come_back(empty)
        assert store.peek(HOST_KIND, 'b') is None
        await spread_era(hosts)
        assert all(store.peek(HOST_KIND, name) for name in NAMES)
        assert len(list(hosts[0].registry.list_current())) == len(NAMES)
        for host in hosts[1:]:
            assert dict(host.client.calls) == {'read': 1, 'create': 1}

    run_hosts(script)


def test_entries_that_the_copy_holds_cost_one_read():
    async def script(store, _empty, hosts):
        store.come_back(store.take_copy())
        await spread_era(hosts)
        for host in hosts[1:]:
            assert dict(host.client.calls) == {'read': 1}

    run_hosts(script)
