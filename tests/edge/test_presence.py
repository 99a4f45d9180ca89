"""Guard that what hosts tell each other leaves their links to callers.

A holder on a link of 10 Mbit/s filled it with ledgers that were sent again,
heard neither the store nor engines, and lost its lease within seconds.
"""

import asyncio
import random

from prometheus_client import CollectorRegistry

from cassiarail.core.clock import LoopClock
from cassiarail.core.loops import run_virtual
from cassiarail.edge.broadcast import Broadcaster, Host
from cassiarail.edge.demand import DemandMeter
from cassiarail.edge.fleet_demand import FleetDemand
from cassiarail.edge.messages import EngineRow
from cassiarail.edge.peers import PeerLink
from cassiarail.edge.presence import Presence, PresenceParts
from cassiarail.edge.state_updates import StateUpdateReceiver
from cassiarail.edge.suspects import CrashSuspects
from cassiarail.edge.targets import (
    Holdings,
    ModelVariant,
    Target,
    TargetDirectory,
)
from cassiarail.edge.traffic import PeerTraffic, TrafficRules
from cassiarail.edge.waiting import PlacementWaits
from cassiarail.http1.pool import Address

# As on the large deployments: hosts, data centres, links, engines, orders.
HOSTS = 80
CENTRES = 4
LINK_MBPS = 10
LINK_BYTES_S = LINK_MBPS * 125_000
ENGINES = 69
ORDERS_S = 40
COPIES_AT_HAND = 9
# A link drops what would wait longer.
QUEUE_S = 0.1
# Ledgers take two ways, which are seldom equally quick.
DELAY_S = (0.001, 0.02)
CUT_SHARE = 0.35
SHARE = 0.25


def make_holdings(index):
    names = [f'model{index:05d}{copy}' for copy in range(COPIES_AT_HAND)]
    return Holdings(
        {name: frozenset(('a1', 'a2', 'a3')) for name in names[:3]},
        frozenset(names[:2]),
        frozenset(names),
    )


class Network:
    """Carry datagrams over links that are narrow, and cut some hosts off."""

    def __init__(self, generator):
        self.links = {}
        self.cut = set()
        self.generator = generator
        self.sent = {}
        self._free_at = {}

    def carry(self, datagram, sender, receiver):
        loop = asyncio.get_running_loop()
        now = loop.time()
        self.sent[sender] = self.sent.get(sender, 0) + len(datagram)
        free_at = max(now, self._free_at.get(sender, 0))
        if free_at - now > QUEUE_S:
            return
        self._free_at[sender] = free_at + len(datagram) / LINK_BYTES_S
        is_cut = (sender in self.cut) != (receiver in self.cut)
        is_lost = self.generator.random() < 0.005
        if is_cut or is_lost or receiver not in self.links:
            return
        loop.call_at(
            self._free_at[sender] + self.generator.uniform(*DELAY_S),
            self.links[receiver].datagram_received,
            datagram,
            sender,
        )


class Transport:
    """Send over the network as one host."""

    def __init__(self, network, address):
        self._network = network
        self._address = address

    def sendto(self, datagram, receiver):
        self._network.carry(datagram, self._address, receiver)


class LeaderElection:
    """Stand for the lease."""

    fence = 1

    def hear_holder(self):
        """Take no notice."""


class Holder:
    """Stand for the host that gives orders to engines."""

    is_leader = True

    def __init__(self, generator):
        self._generator = generator
        self._counts = [1] * ENGINES

    def order(self):
        self._counts[self._generator.randrange(ENGINES)] += 1

    def wake(self):
        """Take no notice."""

    def list_expected(self):
        return []

    def list_rows(self):
        return [
            EngineRow(f'i-{index:010d}', 1, count, {f'm{count}': ['a1']}, 0)
            for index, count in enumerate(self._counts)
        ]


class Member:
    """Own what one host tells and hears."""

    def __init__(self, number, network, hosts, clock, generator):
        self.address = hosts[number].address
        self.clock = clock
        self.directory = TargetDirectory(clock.monotonic)
        self.feed = StateUpdateReceiver(clock)
        self.meter = DemandMeter(clock)
        traffic = PeerTraffic(
            clock, TrafficRules(LINK_MBPS, SHARE), CollectorRegistry()
        )
        self.link = PeerLink(self.address, traffic)
        self.link._transport = Transport(network, tuple(self.address))
        network.links[tuple(self.address)] = self.link
        self.presence = Presence(
            f'h{number}',
            self.link,
            PresenceParts(
                self.meter,
                FleetDemand(clock),
                CrashSuspects(clock),
                self.directory,
                PlacementWaits(lambda: None),
                Broadcaster(self.link, lambda: hosts, generator, clock),
                self.feed,
                lambda: 0.1,
                lambda: len(hosts),
                traffic,
            ),
            clock,
        )
        self.presence.election = LeaderElection()

    async def ask(self, generator):
        """Ask for models that no engine holds, about once a second."""
        while True:
            await asyncio.sleep(generator.expovariate(1))
            want = ModelVariant(f'model{generator.randrange(50):06d}')
            with self.meter.track('service', want, 0.5):
                self.presence.report_soon()
                await asyncio.sleep(0.1)

    async def watch(self):
        """Stand for the own watch, which replaces what ledgers miss."""
        while True:
            await asyncio.sleep(0.9)
            if not self.feed.is_current():
                self.feed.record_store_call(self.clock.monotonic())


class Fleet:
    """Play a holder that takes over while some hosts are cut off."""

    def __init__(self, seed):
        generator = self.generator = random.Random(seed)
        clock = LoopClock()
        self.network = Network(generator)
        hosts = [
            Host(
                Address(f'10.0.{number % CENTRES}.{number}', 7),
                f'dc{number % CENTRES}',
            )
            for number in range(HOSTS)
        ]
        self.members = [
            Member(number, self.network, hosts, clock, generator)
            for number in range(HOSTS)
        ]
        self.first = self.members[0]
        self.leader = Holder(generator)
        for each in self.members[1:]:
            if generator.random() < CUT_SHARE:
                self.network.cut.add(tuple(each.address))
        for index in range(ENGINES):
            self.first.directory.put(
                Target(
                    f'i-{index:010d}',
                    1,
                    's',
                    Address('10.1.0.1', index),
                    'dc0',
                    12,
                    False,
                    make_holdings(index),
                    index + 1,
                )
            )  # fmt: skip

    async def play(self, seconds):
        """Return the holder's bytes a second and the share of current hosts."""
        tasks = [
            asyncio.create_task(work)
            for each in self.members
            for work in (
                each.presence.run(),
                each.watch(),
                each.ask(self.generator),
            )
        ]
        self.first.presence.leader = self.leader
        self.first.presence.begin_term()
        reached = [
            each
            for each in self.members[1:]
            if tuple(each.address) not in self.network.cut
        ]
        loop = asyncio.get_running_loop()
        current = []
        for step in range(int(seconds * ORDERS_S)):
            self.leader.order()
            self.first.presence.report_soon()
            await asyncio.sleep(1 / ORDERS_S)
            if step > 3 * ORDERS_S:
                known = sum(each.feed.is_current() for each in reached)
                current.append(known / len(reached))
        sent = self.network.sent[tuple(self.first.address)] / loop.time()
        for task in tasks:
            task.cancel()
        return sent, sum(current) / len(current)


def test_a_holder_on_a_narrow_link_leaves_most_of_it_to_callers():
    async def main():
        return await Fleet(1).play(10)

    sent_bytes_s, current_share = run_virtual(main)
    assert sent_bytes_s <= SHARE * LINK_BYTES_S * 1.05
    assert current_share >= 0.9
