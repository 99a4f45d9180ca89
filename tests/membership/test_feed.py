"""Test the gateway feed with stopped and unresponsive controllers."""

import random

import anyio
import pytest

from cassiarail.controller.feed import SnapshotFeed
from cassiarail.core.clock import MANUAL_START, LoopClock
from cassiarail.core.loops import run_virtual
from cassiarail.gateway.feed import FeedClient
from cassiarail.membership.backends.codec import SignedCodec
from cassiarail.membership.backends.memory import (
    MemoryPeerNetwork,
    MemoryPeerTransport,
)
from cassiarail.membership.protos import peers_pb2 as pb
from cassiarail.routing.snapshot import (
    LoadReport,
    RoutingSnapshot,
    TargetKind,
    TargetState,
)

_CONFIGURATION = {'generation': 4, 'author': 'ana', 'declarations': {}}
_LOAD = LoadReport(1, 2, 0, 8, 10, 100, received_at=0)
_TARGETS = tuple(
    TargetState(
        name, 'salzmodell', TargetKind.ENGINE, 'bex', f'{name}:80', load=_LOAD
    )
    for name in ('e1', 'e2')
)


class _Fleet:
    """Run two controllers' feeds and one gateway on a memory network."""

    def __init__(self):
        self.clock = LoopClock(MANUAL_START)
        self.network = MemoryPeerNetwork(SignedCodec(b'secret', self.clock))
        self.reports = []
        self.feeds = {}
        for address in ('c1', 'c2'):
            feed = SnapshotFeed(self.clock, self._record_report)
            feed.publish(RoutingSnapshot(4, _TARGETS), _CONFIGURATION)
            self.feeds[address] = feed
            self.network.listen(address, None, feed)
        self.client = FeedClient(
            MemoryPeerTransport(self.network, 'g1'),
            lambda: ['c1', 'c2'],
            lambda: pb.GatewayReport(gateway='g1'),
            self.clock,
            random.Random(1),
        )

    async def _record_report(self, report):
        self.reports.append(report)


def _run(scenario):
    async def run():
        fleet = _Fleet()
        async with anyio.create_task_group() as group:
            group.start_soon(fleet.client.run)
            await anyio.sleep(0.1)
            await scenario(fleet)
            group.cancel_scope.cancel()

    run_virtual(run)


def test_gateway_receives_updates_and_sends_reports():
    """A gateway that misses a leaving target would send it new requests."""

    async def scenario(fleet):
        assert fleet.client.snapshot.targets == _TARGETS
        assert fleet.client.configuration == _CONFIGURATION
        leaving = _TARGETS[0]._replace(leaving=True)
        fleet.feeds['c1'].publish(
            RoutingSnapshot(5, (leaving,), frozenset({'f'})), None
        )
        await anyio.sleep(0.01)
        assert fleet.client.snapshot.targets[0].leaving
        assert fleet.client.snapshot.quarantined == {'f'}
        assert len(fleet.client.snapshot.targets) == 1
        await fleet.client.report_now(pb.GatewayReport(gateway='urgent'))
        await anyio.sleep(2)
        assert {report.gateway for report in fleet.reports} == {'urgent', 'g1'}

    _run(scenario)


@pytest.mark.parametrize('fault', ['killed', 'unresponsive'])
def test_gateway_retains_snapshot_and_switches_controller(fault):
    """A stopped or unresponsive controller must not stop routing."""

    async def scenario(fleet):
        assert fleet.client.controller == 'c1'
        if fault == 'killed':
            fleet.network.kill('c1')
        else:
            fleet.network.join_group('c1', 'far')
            fleet.network.block('', 'far')
        await anyio.sleep(0.01)
        assert fleet.client.snapshot.targets
        await anyio.sleep(5)
        assert fleet.client.controller == 'c2'
        assert fleet.client.is_ready()
        await anyio.sleep(70)
        assert fleet.client.controller == 'c2'
        fleet.network.kill('c2')
        await anyio.sleep(5)
        assert [state.name for state in fleet.client.snapshot.targets] == [
            'e1',
            'e2',
        ]

    _run(scenario)
