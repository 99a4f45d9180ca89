"""Test that hosts find a part together of which each sees few crashes."""

import asyncio
import random

import pytest
from prometheus_client import CollectorRegistry

from cassiarail.core.clock import LoopClock
from cassiarail.core.loops import run_virtual
from cassiarail.edge.crashes.exchange import CrashExchange
from cassiarail.edge.crashes.quarantines import Quarantines
from cassiarail.edge.fleet.peers import PeerLink
from cassiarail.edge.fleet.traffic import PeerTraffic, TrafficRules
from cassiarail.http1.pool import Address
from cassiarail.limits.crash_attribution import CrashAttribution
from cassiarail.limits.crash_evidence import Crash, UnansweredPart

DELAY_S = (0.001, 0.02)
LOSS = 0.02
LINK_MBPS = 10


class Host:
    """Exchange reports over a network that delays and loses datagrams."""

    def __init__(self, number, fleet):
        self.address = Address('10.0.0.1', number)
        self.sent_bytes = 0
        self._fleet = fleet
        clock = LoopClock()
        traffic = PeerTraffic(
            clock, TrafficRules(LINK_MBPS), CollectorRegistry()
        )
        self.link = PeerLink(self.address, traffic)
        self.link._transport = self
        self.quarantines = Quarantines(CrashAttribution(clock), clock)
        self.exchange = CrashExchange(
            f'h{number}', self.link, self.quarantines, clock, fleet.generator
        )
        self.link.on_message = self.exchange.receive

    def sendto(self, datagram, receiver):
        self.sent_bytes += len(datagram)
        self._fleet.deliver(datagram, self.address, receiver)

    def see_crash(self, target, *parts):
        now = asyncio.get_running_loop().time()
        self.quarantines.record_crash(
            Crash(
                target,
                now,
                dict.fromkeys(parts, UnansweredPart(0.05, 0.05)),
            ),
            'own',
        )

    def see_answer(self, *parts):
        now = asyncio.get_running_loop().time()
        self.quarantines.record_answer(parts, now, 'own')

    @property
    def refused(self):
        return {each.parts for each in self.quarantines.all}


class Fleet:
    """Connect hosts that know each other, in parts that may be cut off."""

    def __init__(self, size, seed=1):
        self.generator = random.Random(seed)
        self.cut_off = set()
        self.down = set()
        self.loss = LOSS
        self.hosts = [Host(number, self) for number in range(size)]
        self._by_address = {tuple(host.address): host for host in self.hosts}
        for host in self.hosts:
            host.exchange.peers.add_listed(
                other.address for other in self.hosts
            )
        self.tasks = [
            asyncio.create_task(host.exchange.run()) for host in self.hosts
        ]

    def deliver(self, datagram, sender, receiver):
        is_cut = (sender in self.cut_off) != (receiver in self.cut_off)
        is_down = receiver in self.down or sender in self.down
        if is_cut or is_down or self.generator.random() < self.loss:
            return
        asyncio.get_running_loop().call_later(
            self.generator.uniform(*DELAY_S),
            self._by_address[receiver].link.datagram_received,
            datagram,
            tuple(sender),
        )

    async def crash_targets(self, count, first=0, hosts=None):
        """Crash targets under one part; each time another host loses it."""
        for number in range(first, first + count):
            seeing = self.generator.sample(hosts or self.hosts, 2)
            seeing[0].see_crash(('i', number), 'common', 'deadly')
            seeing[1].see_crash(('i', number), 'common', f'rare{number}')
            await asyncio.sleep(0.3)
            self.generator.choice(self.hosts).see_answer('common')

    def close(self):
        for task in self.tasks:
            task.cancel()


def run_fleet(size, script, seed=1):
    async def main():
        fleet = Fleet(size, seed)
        try:
            await script(fleet)
        finally:
            fleet.close()

    run_virtual(main)


@pytest.mark.parametrize(
    ('size', 'seed'), [(2, 1), (9, 1), (9, 2), (81, 1), (195, 1)]
)
def test_all_hosts_refuse_a_part_of_which_each_saw_one_crash(size, seed):
    async def script(fleet):
        await fleet.crash_targets(5)
        await asyncio.sleep(1)
        shares = [
            host.refused == {frozenset(['deadly'])} for host in fleet.hosts
        ]
        assert sum(shares) >= 0.95 * size
        await asyncio.sleep(10)
        assert all(
            host.refused == {frozenset(['deadly'])} for host in fleet.hosts
        )

    run_fleet(size, script, seed)


def test_an_answer_that_one_host_sees_clears_a_part_on_all():
    async def script(fleet):
        for number in range(6):
            fleet.hosts[number].see_crash(('i', number), 'harmless')
            await asyncio.sleep(0.5)
            fleet.hosts[8 - number].see_answer('harmless', 'other')
            await asyncio.sleep(0.5)
        assert not any(host.refused for host in fleet.hosts)

    run_fleet(9, script)


def test_hosts_that_were_cut_off_learn_of_it_when_they_return():
    async def script(fleet):
        fleet.cut_off.update(host.address for host in fleet.hosts[:3])
        await fleet.crash_targets(5, hosts=fleet.hosts[3:])
        await asyncio.sleep(5)
        assert not fleet.hosts[0].refused
        fleet.cut_off.clear()
        await asyncio.sleep(5)
        assert all(
            host.refused == {frozenset(['deadly'])} for host in fleet.hosts
        )

    run_fleet(9, script)


def test_hosts_that_return_do_not_restore_what_was_released():
    async def script(fleet):
        await fleet.crash_targets(5)
        await asyncio.sleep(1)
        fleet.cut_off.update(host.address for host in fleet.hosts[:3])
        now = asyncio.get_running_loop().time()
        fleet.hosts[8].quarantines.lift(frozenset(['deadly']), now, 'operator')
        await asyncio.sleep(60)
        assert not fleet.hosts[4].refused
        assert fleet.hosts[0].refused
        fleet.cut_off.clear()
        await asyncio.sleep(10)
        assert not any(host.refused for host in fleet.hosts)

    run_fleet(9, script)


def test_a_ban_holds_on_all_hosts_until_it_is_lifted():
    async def script(fleet):
        parts = frozenset(['banned'])
        fleet.hosts[0].quarantines.ban(parts, 'operator')
        await asyncio.sleep(1)
        # Requests that were already at engines are answered.
        fleet.hosts[3].see_answer('banned')
        await asyncio.sleep(5)
        assert all(host.refused == {parts} for host in fleet.hosts)
        fleet.cut_off.add(fleet.hosts[1].address)
        now = asyncio.get_running_loop().time()
        fleet.hosts[0].quarantines.lift(parts, now, 'operator')
        await asyncio.sleep(5)
        fleet.cut_off.clear()
        await asyncio.sleep(10)
        assert not any(host.refused for host in fleet.hosts)

    run_fleet(9, script)


def test_reports_that_are_passed_on_do_not_change_what_they_report():
    # Each host that passes on the age of something adds the time in transit.
    async def script(fleet):
        for number in range(4):
            # Targets that end together accuse nobody, however often it is told.
            fleet.hosts[number].see_crash(('i', number), 'a')
        await asyncio.sleep(0.5)
        fleet.hosts[8].see_answer('b')
        fleet.hosts[0].quarantines.ban(frozenset(['b']), 'operator')
        now = asyncio.get_running_loop().time()
        fleet.hosts[0].quarantines.lift(frozenset(['b']), now, 'operator')
        await asyncio.sleep(3)
        sent = [host.sent_bytes for host in fleet.hosts]
        await asyncio.sleep(30)
        assert not any(host.refused for host in fleet.hosts)
        for host, before in zip(fleet.hosts, sent, strict=True):
            lifted_at = host.quarantines.attribution.lifted[frozenset(['b'])]
            assert abs(lifted_at - now) < 0.1
            assert (host.sent_bytes - before) / 30 < 1000

    run_fleet(9, script)


def test_the_exchange_of_a_large_fleet_is_small():
    async def script(fleet):
        await fleet.crash_targets(5)
        await asyncio.sleep(10)
        # 3 KB/s is what all of control may cost a host.
        assert max(host.sent_bytes for host in fleet.hosts) < 11.5 * 3000

    run_fleet(195, script)
