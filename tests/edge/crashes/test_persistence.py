"""Test that restarts keep quarantines, and that operators can change them."""

import asyncio
import random

from prometheus_client import CollectorRegistry

from cassiarail.core.clock import MANUAL_START, LoopClock
from cassiarail.core.loops import run_virtual
from cassiarail.edge.crashes.documents import QUARANTINE_KIND, QUARANTINE_NAME
from cassiarail.edge.crashes.persistence import QuarantineKeeper
from cassiarail.edge.crashes.quarantines import Quarantines
from cassiarail.limits.crash_attribution import CrashAttribution
from cassiarail.limits.crash_evidence import Crash, UnansweredPart
from cassiarail.store.backends.memory import MemoryObjectStore
from cassiarail.store.observed import ObservedStore

DEADLY = frozenset(['deadly'])
PROBES = 3


class Host:
    """Keep quarantines in a store that hosts share."""

    def __init__(self, store, clock, *, is_leader=True):
        self.clock = clock
        self.store = ObservedStore(store, Checks(), clock, CollectorRegistry())
        self.quarantines = Quarantines(CrashAttribution(clock), clock)
        self.is_leader = is_leader
        self.keeper = QuarantineKeeper(
            self.store,
            self.quarantines,
            lambda: self.is_leader,
            clock,
            random.Random(1),
        )
        self.task = asyncio.create_task(self.keeper.run())

    def see_crash(self, number):
        now = self.clock.monotonic()
        self.quarantines.record_crash(
            Crash(
                ('i', number),
                now,
                {'deadly': UnansweredPart(0.05, 0.05)},
            ),
            'own',
        )

    async def quarantine(self, first=0):
        # A part that was answered before requires a few more crashes.
        for number in range(first, first + 4):
            self.see_crash(number)
            await asyncio.sleep(1)

    @property
    def refused(self):
        return {each.parts for each in self.quarantines.all}


class Checks:
    """Replace the checks of the store."""

    async def check(self):
        return None


def run_hosts(script):
    async def main():
        clock = LoopClock(MANUAL_START)
        store = MemoryObjectStore(clock)
        hosts = []

        def start(**options):
            hosts.append(Host(store, clock, **options))
            return hosts[-1]

        try:
            await script(store, start)
        finally:
            for host in hosts:
                host.task.cancel()

    run_virtual(main)


async def read_document(store):
    stored = await store.read(QUARANTINE_KIND, QUARANTINE_NAME)
    return stored.document if stored else None


async def change_document(store, change):
    stored = await store.read(QUARANTINE_KIND, QUARANTINE_NAME)
    document = change(dict(stored.document))
    await store.replace(
        QUARANTINE_KIND, QUARANTINE_NAME, document, stored.version
    )


def test_a_restart_of_all_hosts_keeps_a_quarantine():
    async def script(store, start):
        first = start()
        await first.quarantine()
        first.task.cancel()
        second = start(is_leader=False)
        await asyncio.sleep(1)
        assert second.refused == {DEADLY}

    run_hosts(script)


def test_a_quarantine_found_during_an_outage_is_stored_after_it():
    async def script(store, start):
        host = start()
        await asyncio.sleep(1)
        store.injected_faults.outage = True
        await host.quarantine()
        assert host.refused == {DEADLY}
        store.injected_faults.outage = False
        host.store.breaker.record_success()
        await asyncio.sleep(5)
        document = await read_document(store)
        assert [each['parts'] for each in document['entries']] == [['deadly']]

    run_hosts(script)


def test_a_new_leader_stores_what_its_predecessor_did_not():
    async def script(store, start):
        host = start(is_leader=False)
        await host.quarantine()
        assert await read_document(store) is None
        host.is_leader = True
        await asyncio.sleep(1)
        document = await read_document(store)
        assert [each['parts'] for each in document['entries']] == [['deadly']]

    run_hosts(script)


def test_an_operator_releases_and_bans_parts():
    async def script(store, start):
        host = start()
        await host.quarantine()
        released_at = host.clock.now().timestamp() + 1
        released = {'parts': ['deadly'], 'at': released_at, 'reason': 'r'}
        await change_document(
            store,
            lambda each: {**each, 'entries': [], 'released': [released]},
        )
        await asyncio.sleep(1)
        assert not host.refused
        banned = {
            'parts': ['other'],
            'since': 0.0,
            'last_crash': 0.0,
            'crashes': 0,
            'banned': True,
        }
        await change_document(store, lambda each: {**each, 'entries': [banned]})
        await asyncio.sleep(1)
        assert host.refused == {frozenset(['other'])}

    run_hosts(script)


def test_a_part_that_crashes_targets_after_its_release_is_quarantined():
    async def script(store, start):
        host = start()
        await host.quarantine()
        await asyncio.sleep(1)
        released = {'parts': ['deadly'], 'at': host.clock.now().timestamp()}
        await change_document(
            store,
            lambda each: {'entries': [], 'released': [released]},
        )
        await asyncio.sleep(1)
        assert not host.refused
        await host.quarantine(first=10)
        await asyncio.sleep(1)
        assert host.refused == {DEADLY}
        document = await read_document(store)
        assert [each['parts'] for each in document['entries']] == [['deadly']]

    run_hosts(script)


def test_an_unreadable_document_changes_nothing():
    async def script(store, start):
        host = start()
        await host.quarantine()
        await change_document(store, lambda _each: {'entries': 'none'})
        await asyncio.sleep(1)
        host.quarantines.lift(DEADLY, host.clock.monotonic(), 'own')
        await host.quarantine(first=10)
        assert host.refused == {DEADLY}
        assert await read_document(store) == {'entries': 'none'}
        assert not host.task.done()

    run_hosts(script)


def test_hosts_send_three_probes_in_all_and_then_none():
    async def script(store, start):
        hosts = [start(), start(is_leader=False), start(is_leader=False)]
        await hosts[0].quarantine()
        for host in hosts[1:]:
            host.quarantines.adopt(hosts[0].quarantines.all[0], 'h0')
        claimed = 0
        for _second in range(3600):
            answers = await asyncio.gather(
                *(
                    host.keeper.claim_probe(host.quarantines.all[0])
                    for host in hosts
                )
            )
            claimed += sum(answers)
            assert sum(answers) <= 1
            # The hosts tell each other of a probe.
            counted = max(
                (host.quarantines.all[0] for host in hosts),
                key=lambda each: each.probes,
            )
            for host in hosts:
                host.quarantines.adopt(counted, 'h')
            await asyncio.sleep(1)
        assert claimed == PROBES

    run_hosts(script)


def test_a_host_that_missed_a_probe_sends_no_other_one():
    async def script(store, start):
        hosts = [start(), start(is_leader=False)]
        await hosts[0].quarantine()
        hosts[1].quarantines.adopt(hosts[0].quarantines.all[0], 'h0')
        await asyncio.sleep(61)
        assert await hosts[0].keeper.claim_probe(hosts[0].quarantines.all[0])
        assert not await hosts[1].keeper.claim_probe(
            hosts[1].quarantines.all[0]
        )

    run_hosts(script)


def test_no_probe_is_sent_while_the_store_is_out():
    async def script(store, start):
        host = start()
        await host.quarantine()
        await asyncio.sleep(61)
        store.injected_faults.outage = True
        assert not await host.keeper.claim_probe(host.quarantines.all[0])
        # Later requests don't wait for a store that is known to be out.
        store.injected_faults.slow_s = 100
        started_at = host.clock.monotonic()
        assert not await host.keeper.claim_probe(host.quarantines.all[0])
        assert host.clock.monotonic() == started_at

    run_hosts(script)


def test_the_leader_writes_a_lost_quarantine_again():
    async def script(store, start):
        store.begin_era(1)
        host = start()
        await asyncio.sleep(1)
        copy = store.take_copy()
        await host.quarantine()
        assert await read_document(store)
        store.come_back(copy)
        assert store.peek(QUARANTINE_KIND, QUARANTINE_NAME) is None
        await asyncio.sleep(1)
        document = await read_document(store)
        assert [each['parts'] for each in document['entries']] == [['deadly']]
        assert host.refused == {DEADLY}

    run_hosts(script)


def test_a_quarantine_that_ended_does_not_come_back_from_a_copy():
    async def script(store, start):
        store.begin_era(1)
        host = start()
        await host.quarantine()
        copy = store.take_copy()
        host.quarantines.lift(DEADLY, host.clock.monotonic(), 'operator')
        await asyncio.sleep(1)
        assert not (await read_document(store))['entries']
        store.come_back(copy)
        await asyncio.sleep(1)
        assert not host.refused
        assert not (await read_document(store))['entries']

    run_hosts(script)


def test_a_probe_that_the_store_has_lost_stays_counted():
    async def script(store, start):
        store.begin_era(1)
        host = start()
        await host.quarantine()
        await asyncio.sleep(61)
        copy = store.take_copy()
        assert await host.keeper.claim_probe(host.quarantines.all[0])
        store.come_back(copy)
        await asyncio.sleep(1)
        assert (await read_document(store))['entries'][0]['probes'] == 1
        late = start(is_leader=False)
        await asyncio.sleep(1)
        assert not await late.keeper.claim_probe(late.quarantines.all[0])
        claimed = 1
        for _second in range(3600):
            claimed += await host.keeper.claim_probe(host.quarantines.all[0])
            await asyncio.sleep(1)
        assert claimed == PROBES

    run_hosts(script)
