"""Test that all hosts know each other within seconds.

Addresses were listed three at a time, twice a second: 195 hosts knew each other
after half a minute, and requests that crash engines came after four seconds.
"""

import asyncio
import random

import pytest

from cassiarail.core.clock import ManualClock
from cassiarail.core.loops import run_virtual
from cassiarail.edge.fleet.broadcast import Host
from cassiarail.edge.fleet.members import (
    MemberAnnouncer,
    MemberList,
    PeerBook,
)
from cassiarail.http1.pool import Address
from tests.edge.fleet.test_presence import Fleet

UPDATE_S = 0.5


def make_address(number):
    return Address(f'10.0.{number // 200}.{number % 200}', 7)


def make_hosts(count):
    return [Host(make_address(number), 'dc') for number in range(count)]


class Listing:
    """Announce hosts to one host that may miss pages."""

    def __init__(self, hosts):
        self.clock = ManualClock()
        self.hosts = hosts
        leader_book = PeerBook(make_address(0), random.Random(1))
        self.announcer = MemberAnnouncer(
            lambda: self.hosts, MemberList(leader_book), self.clock
        )
        self.book = PeerBook(make_address(1), random.Random(1))
        self.members = MemberList(self.book)

    def send_updates(self, seconds, loss=0.0, generator=None):
        """Return the bytes of addresses that were sent."""
        sent_bytes = 0
        for number in range(int(seconds / UPDATE_S)):
            page = self.announcer.next_page()
            if page is not None:
                sent_bytes += len(page.addresses)
                if not loss or generator.random() >= loss:
                    self.members.receive(page)
            if number % 2:
                self.announcer.record_digest(self.members.digest)
            self.clock.advance(UPDATE_S)
        return sent_bytes

    @property
    def known(self):
        return set(self.book)

    @property
    def expected(self):
        return {host.address for host in self.hosts} - {make_address(1)}


@pytest.mark.parametrize('count', [2, 9, 30, 85, 195, 380])
def test_a_host_knows_all_others_after_two_seconds(count):
    listing = Listing(make_hosts(count))
    listing.send_updates(2)
    assert listing.known == listing.expected


def test_a_host_hears_of_new_and_removed_hosts_within_two_seconds():
    listing = Listing(make_hosts(195))
    listing.send_updates(30)
    listing.hosts = make_hosts(200)[3:]
    listing.send_updates(2)
    assert listing.known == listing.expected


def test_pages_are_repeated_until_all_hosts_have_the_list():
    listing = Listing(make_hosts(380))
    listing.send_updates(12, 0.4, random.Random(1))
    assert listing.known == listing.expected


def test_a_restarted_host_gets_the_list_again():
    listing = Listing(make_hosts(195))
    listing.send_updates(30)
    listing.book = PeerBook(make_address(1), random.Random(1))
    listing.members = MemberList(listing.book)
    # Its first report shows that it has no list.
    listing.announcer.record_digest(0)
    listing.send_updates(2)
    assert listing.known == listing.expected


def test_a_list_that_all_hosts_have_costs_little():
    listing = Listing(make_hosts(380))
    listing.send_updates(10)
    assert listing.send_updates(60) / 60 < 200


def test_hosts_that_only_sent_something_never_displace_listed_ones():
    book = PeerBook(make_address(0), random.Random(1))
    book.add_listed(make_address(number) for number in range(1, 100))
    for number in range(1000):
        book.record(Address('10.9.9.9', number + 1))
    assert {make_address(number) for number in range(1, 100)} <= set(book)
    assert len(book) < 200


def test_members_of_a_fleet_know_each_other_after_two_seconds():
    async def main():
        fleet = Fleet(1)
        fleet.network.isolated.clear()
        tasks = [
            asyncio.create_task(each.presence.run()) for each in fleet.members
        ]
        fleet.leader_host.presence.leader = fleet.leader
        fleet.leader_host.presence.begin_term()
        await asyncio.sleep(2.5)
        books = [
            len(each.presence._parts.crash_exchange.peers)
            for each in fleet.members
        ]
        for task in tasks:
            task.cancel()
        return books

    books = run_virtual(main)
    assert min(books) >= len(books) - 1
