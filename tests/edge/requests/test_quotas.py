"""Test that requests are charged to quotas over two hosts.

The use of accounts was not counted, so that no request was refused for it.
"""

import asyncio
import types

import pytest
from prometheus_client import CollectorRegistry

from cassiarail.core.clock import LoopClock
from cassiarail.core.loops import run_virtual
from cassiarail.core.verdict import Verdict
from cassiarail.edge.fleet.messages import decode_message, encode_message
from cassiarail.edge.fleet.quota_exchange import QuotaExchange
from cassiarail.edge.registry.configuration import (
    Configuration,
    CurrentConfiguration,
)
from cassiarail.edge.requests.quotas import QuotaGate, QuotaMetrics, QuotaParts
from cassiarail.edge.requests.refusals import Refusal
from cassiarail.http1.assembly import ClientLimits
from cassiarail.http1.pool import Address
from cassiarail.security.accounts import (
    AccountDirectory,
    AccountKeys,
    AccountQuota,
    ClientAccount,
)

QUOTA = AccountQuota(1000, 1000, True, 100)
ACCOUNT = ClientAccount('hule', None, QUOTA)
UNLIMITED = ClientAccount('open', None, None)
LEADER, OTHER = Address('h', 1), Address('h', 2)
DELAY_S = 0.002


class Link:
    """Deliver messages to the other host, and count their bytes."""

    def __init__(self, address, peers):
        self.address = address
        self.peers = peers
        self.bytes = 0
        self.is_cut = False

    def send(self, message, address, kind):
        datagram = encode_message(message)
        self.bytes += len(datagram)
        if not self.is_cut:
            asyncio.get_running_loop().call_later(
                DELAY_S,
                self.peers[address].receive,
                decode_message(datagram),
                self.address,
            )


class Host:
    """Run the gate and the exchange of one host."""

    def __init__(self, address, peers, configuration):
        clock = LoopClock()
        is_leader = address == LEADER
        self.link = Link(address, peers)
        presence = types.SimpleNamespace(
            link=self.link,
            host_count=2,
            leader_address=LEADER,
            leader=types.SimpleNamespace(is_leader=is_leader),
            election=types.SimpleNamespace(fence=1),
            count_present=lambda _within_s: 2,
            list_hosts=lambda: (LEADER, OTHER),
        )
        self.exchange = QuotaExchange(presence, configuration, clock)
        self.registry = CollectorRegistry()
        self.gate = QuotaGate(
            QuotaParts(
                self.exchange.quotas,
                QuotaMetrics(self.registry),
                self.exchange.ask_soon,
            ),
            clock,
        )
        self.exchange.on_grants = self.gate.wake
        peers[address] = self.exchange


class Job:
    """Hold what the gate reads of a request."""

    def __init__(self, account=ACCOUNT, tokens=100):
        self.account = account
        self.verdict = Verdict.NOT_RUN
        self.request = types.SimpleNamespace(
            prompt_tokens=tokens, output_tokens=0
        )


def run(play):
    """Run a case with the leader and another host."""

    async def start():
        current = CurrentConfiguration()
        keys = [AccountKeys(each, ()) for each in (ACCOUNT, UNLIMITED)]
        current.offer(
            Configuration(
                1, (), {}, ClientLimits(), accounts=AccountDirectory(keys)
            )
        )
        peers = {}
        hosts = [Host(each, peers, current) for each in (LEADER, OTHER)]
        tasks = [asyncio.ensure_future(each.exchange.run()) for each in hosts]
        await asyncio.sleep(1)
        hosts[1].exchange.record_contact(1)
        try:
            await play(*hosts)
        finally:
            for task in tasks:
                task.cancel()

    run_virtual(start)


async def charge_all(hosts, jobs):
    """Charge jobs to hosts in turn; return the refusals."""
    refusals = []
    for index, job in enumerate(jobs):
        try:
            await hosts[index % len(hosts)].gate.charge(job)
        except Refusal as refusal:
            refusals.append(refusal)
        job.verdict = Verdict.MAY_HAVE_RUN
        hosts[index % len(hosts)].gate.settle(job)
    return refusals


def test_hosts_share_a_quota():
    async def play(leader, other):
        jobs = [Job() for _index in range(60)]
        refusals = await charge_all((leader, other), jobs)
        assert 10 <= 60 - len(refusals) <= 20
        assert {each.status for each in refusals} == {429}
        assert min(each.retry_after_s for each in refusals) > 0

    run(play)


def test_unrun_requests_give_their_units_back():
    async def play(leader, other):
        for _index in range(100):
            job = Job()
            await other.gate.charge(job)
            other.gate.settle(job)
        name = 'cassiarail_quota_returned_units_total'
        returned = other.registry.get_sample_value(name, {'account': 'hule'})
        assert returned == 100 * 100

    run(play)


def test_run_requests_keep_their_units():
    async def play(leader, other):
        assert await charge_all((other,), [Job() for _index in range(100)])

    run(play)


def test_nothing_is_sent_without_a_quota():
    async def play(leader, other):
        for _index in range(100):
            await other.gate.charge(Job(UNLIMITED))
            await other.gate.charge(Job(None))
        await asyncio.sleep(5)
        assert not other.link.bytes

    run(play)


def test_request_waits_only_shortly_for_an_answer():
    async def play(leader, other):
        other.link.is_cut = True
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        with pytest.raises(Refusal) as error:
            await other.gate.charge(Job())
        assert error.value.status == 503
        assert loop.time() - began_at < 0.25

    run(play)


def test_cancelled_request_needs_no_units_any_more():
    async def play(leader, other):
        other.link.is_cut = True
        task = asyncio.ensure_future(other.gate.charge(Job()))
        await asyncio.sleep(0.01)
        assert other.exchange.quotas.list_urgent()
        task.cancel()
        await asyncio.sleep(0)
        assert not other.exchange.quotas.list_urgent()

    run(play)
