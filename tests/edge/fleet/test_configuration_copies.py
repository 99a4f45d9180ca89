"""Test that keys are taken away on hosts that the store doesn't reach.

A host that was cut off from the store kept serving keys that had been taken
away, although the leader, which reached it, knew better.
"""

import zlib

import pytest

from cassiarail.core.clock import ManualClock
from cassiarail.edge.fleet.configuration_copies import ConfigurationCopies
from cassiarail.edge.fleet.messages import (
    ConfigurationCopy,
    DemandReport,
    decode_message,
    encode_message,
)
from cassiarail.edge.registry.configuration import CurrentConfiguration
from cassiarail.http1.pool import Address
from cassiarail.platform.dialect import PlatformDialect
from tests.edge.requests.test_admission import KEY, TENANT

HOST = Address('127.0.0.1', 9)


def make_document(version, keys):
    tenants = [{**TENANT, 'api_keys': keys}] if keys else []
    return {
        'version': version,
        'routes': [],
        'services': [],
        'tenants': tenants,
    }


class Host:
    """Hold the copies of one host and the datagrams that it sends."""

    def __init__(self, clock):
        self.current = CurrentConfiguration()
        self.copies = ConfigurationCopies(
            self.current, PlatformDialect(), clock
        )
        self.sent = []
        self.copies.connect(
            lambda copy, _address, _kind: self.sent.append(encode_message(copy))
        )

    def read_from_store(self, document):
        found = PlatformDialect().decode_configuration(document)
        assert self.current.offer(found)
        self.copies.record(found, document)

    def report(self):
        return DemandReport(
            'h', [], [], configuration=self.copies.get_version()
        )


@pytest.fixture
def clock():
    return ManualClock()


def make_hosts(clock):
    leader, host = Host(clock), Host(clock)
    for each in (leader, host):
        each.read_from_store(make_document(1, [KEY, 'other']))
    leader.read_from_store(make_document(2, ['other']))
    return leader, host


def test_a_key_is_taken_away_on_a_host_without_the_store(clock):
    leader, host = make_hosts(clock)
    clock.advance(1.1)
    leader.copies.answer(host.report(), HOST)
    assert host.copies.receive(decode_message(leader.sent[0]))
    accounts = host.current.current.accounts
    assert accounts.find_by_key(KEY) is None
    assert accounts.find_by_key('other').name == 'hule'


def test_no_key_leaves_a_host(clock):
    leader, host = make_hosts(clock)
    third = Host(clock)
    clock.advance(1.1)
    leader.copies.answer(host.report(), HOST)
    copy = decode_message(leader.sent[0])
    assert b'other' not in zlib.decompress(copy.document)
    # A host passes on what it has from another one.
    assert host.copies.receive(copy)
    clock.advance(1.1)
    host.copies.answer(third.report(), HOST)
    assert third.copies.receive(decode_message(host.sent[0]))
    accounts = third.current.current.accounts
    assert accounts.find_by_key('other').name == 'hule'
    assert accounts.find_by_key(KEY) is None


def test_hosts_that_read_the_store_get_no_copies(clock):
    leader, host = make_hosts(clock)
    leader.copies.answer(host.report(), HOST)
    assert not leader.sent
    clock.advance(1.1)
    host.read_from_store(make_document(2, ['other']))
    leader.copies.answer(host.report(), HOST)
    assert not leader.sent


def test_a_host_gets_at_most_one_copy_a_second(clock):
    leader, host = make_hosts(clock)
    for _ in range(10):
        clock.advance(0.5)
        leader.copies.answer(host.report(), HOST)
    assert 3 <= len(leader.sent) <= 5


def test_an_older_copy_never_gives_a_key_back(clock):
    leader, host = make_hosts(clock)
    clock.advance(1.1)
    host.copies.answer(DemandReport('h', [], []), HOST)
    assert not leader.copies.receive(decode_message(host.sent[0]))
    assert leader.current.current.accounts.find_by_key(KEY) is None


def test_without_accounts_nothing_is_sent(clock):
    leader, host = Host(clock), Host(clock)
    leader.read_from_store(make_document(2, []))
    clock.advance(5)
    leader.copies.answer(host.report(), HOST)
    assert not leader.sent


@pytest.mark.parametrize('document', [b'', b'x', b'x\x9cK'])
def test_a_damaged_copy_changes_nothing(clock, document):
    _leader, host = make_hosts(clock)
    assert not host.copies.receive(ConfigurationCopy(9, document))
    assert host.copies.get_version() == 1


def test_a_cut_off_copy_changes_nothing(clock):
    leader, host = make_hosts(clock)
    clock.advance(1.1)
    leader.copies.answer(host.report(), HOST)
    copy = decode_message(leader.sent[0])
    assert not host.copies.receive(
        ConfigurationCopy(copy.version, copy.document[:-9])
    )
