"""Test membership under crashes, partitions and replacement of hosts."""

import anyio
import pytest

from cassiarail.control.configuration import (
    apply_configuration,
    describe_rollout,
)
from cassiarail.core.clock import MANUAL_START, LoopClock
from cassiarail.core.loops import run_virtual
from cassiarail.membership.peers import (
    HEARTBEAT_INTERVAL_S,
    REMOVE_AFTER_S,
    SUSPECT_AFTER_S,
)
from cassiarail.membership.simulation import SimulatedFleet, name_controllers
from cassiarail.store.backends.memory import MemoryObjectStore

_COUNT = 54
_CONVERGENCE_S = 15
_LEAVING_BOUND_S = 3
# The last heartbeat of a dead member takes up to one interval to arrive.
_DETECTION_S = SUSPECT_AFTER_S + HEARTBEAT_INTERVAL_S


def _run(scenario, count=_COUNT, targets=0):
    async def run():
        clock = LoopClock(MANUAL_START)
        async with anyio.create_task_group() as group:
            store = MemoryObjectStore(clock)
            fleet = SimulatedFleet(group, clock, store, 1, targets)
            for address in name_controllers(count):
                fleet.start(address)
            await anyio.sleep(_CONVERGENCE_S)
            await scenario(fleet)
            group.cancel_scope.cancel()

    run_virtual(run)


def _find_disagreeing(fleet, expected):
    """Return the controllers whose live members differ from the expected."""
    return {
        address: set(expected) ^ set(seen)
        for address in expected
        if set(seen := fleet.controllers[address].node.peers.list_live())
        != set(expected)
    }


def test_rollout_does_not_report_unreachable_node_as_up_to_date():
    """A node that is behind or stopped must not be shown as up to date."""

    async def scenario(fleet):
        dead, *others = name_controllers(5)
        fleet.kill(dead)
        await apply_configuration(fleet.store, 0, {}, 'ana', 't', fleet.clock)
        await anyio.sleep(_DETECTION_S)
        peers = fleet.controllers[others[0]].node.peers
        rollout = describe_rollout(1, peers.describe_members(fleet.seeds))
        assert rollout.in_force == tuple(others)
        assert not rollout.behind
        assert rollout.unreachable == (dead,)

    _run(scenario, count=5)


def test_survivors_remove_controllers_that_die_at_once():
    """Survivors that retain dead members would leave targets unpolled."""

    async def scenario(fleet):
        controllers = name_controllers(_COUNT)
        for address in controllers[::2]:
            fleet.kill(address)
        await anyio.sleep(_DETECTION_S)
        assert not _find_disagreeing(fleet, controllers[1::2])
        await anyio.sleep(REMOVE_AFTER_S)
        assert not _find_disagreeing(fleet, controllers[1::2])

    _run(scenario)


@pytest.mark.parametrize('partition_s', [10, 60])
def test_members_find_each_other_after_partition(partition_s):
    """Both sides must stay consistent during the partition, and merge after."""

    async def scenario(fleet):
        controllers = name_controllers(_COUNT)
        minority = controllers[:20]
        for address in minority:
            fleet.network.join_group(address, 'left')
        fleet.network.block('left', '')
        await anyio.sleep(partition_s)
        if partition_s > _DETECTION_S:
            assert not _find_disagreeing(fleet, minority)
            assert not _find_disagreeing(fleet, controllers[20:])
        fleet.network.heal()
        await anyio.sleep(_CONVERGENCE_S)
        assert not _find_disagreeing(fleet, controllers)

    _run(scenario)


def test_rolling_replacement_leaves_no_dead_member():
    """New hosts must join while old ones die; dead ones must be removed."""

    async def scenario(fleet):
        replacements = [
            f'10.0.1.{number}:7001' for number in range(1, _COUNT + 1)
        ]
        for old, new in zip(
            name_controllers(_COUNT), replacements, strict=True
        ):
            fleet.kill(old)
            fleet.start(new)
            fleet.seeds.remove(old)
            await anyio.sleep(0.5)
        await anyio.sleep(_DETECTION_S)
        assert not _find_disagreeing(fleet, replacements)

    _run(scenario)


def test_restart_at_same_address_is_accepted():
    """Peers that hold a later heartbeat must accept the new incarnation."""

    async def scenario(fleet):
        address = name_controllers(9)[0]
        fleet.kill(address)
        await anyio.sleep(0.5)
        fleet.start(address)
        await anyio.sleep(_CONVERGENCE_S)
        assert not _find_disagreeing(fleet, name_controllers(9))

    _run(scenario, count=9)


def test_restarted_controller_receives_its_earlier_entries():
    """Peers that assume it still has its own entries would not resend them."""

    async def scenario(fleet):
        first, second = name_controllers(2)
        fleet.controllers[first].node.record_crash('request', 'e1', 'i1')
        fleet.controllers[first].node.record_crash('request', 'e2', 'i2')
        await anyio.sleep(2)
        fleet.kill(first)
        await anyio.sleep(2)
        fleet.start(first)
        await anyio.sleep(_LEAVING_BOUND_S)
        for address in (first, second):
            table = fleet.controllers[address].node.fingerprints
            assert table.list_quarantined() == {'request'}

    _run(scenario, count=2)


def test_graceful_leave_does_not_wait_for_suspicion():
    """A planned stop must not take the time of a suspicion."""

    async def scenario(fleet):
        address = name_controllers(9)[0]
        await fleet.controllers[address].node.drain()
        fleet.kill(address)
        await anyio.sleep(0.1)
        assert not _find_disagreeing(fleet, name_controllers(9)[1:])

    _run(scenario, count=9)


async def _wait_leaving(fleet, name):
    started_at = anyio.current_time()
    while not all(
        controller.node.targets.find(name).profile.leaving
        for controller in fleet.controllers.values()
    ):
        await anyio.sleep(0.05)
        assert anyio.current_time() - started_at <= _LEAVING_BOUND_S


def test_leaving_state_reaches_every_member():
    """A member that misses it would send new requests to the target."""

    async def scenario(fleet):
        for name, target in fleet.targets.items():
            target.leaving = True
            await _wait_leaving(fleet, name)

    _run(scenario, targets=12)


def test_leaving_state_is_detected_after_poller_dies():
    """Another controller must poll in time when the first poller crashes."""

    async def scenario(fleet):
        for name, target in list(fleet.targets.items()):
            await anyio.sleep(1)
            pollers = [
                address
                for address, controller in fleet.controllers.items()
                if controller.poller.get_rank(name) == 0
            ]
            fleet.kill(pollers[0])
            target.leaving = True
            await _wait_leaving(fleet, name)

    _run(scenario, count=27, targets=12)


def test_restarted_target_is_no_longer_leaving():
    """A new instance must get requests; old updates must not apply to it."""

    async def scenario(fleet):
        name, target = next(iter(fleet.targets.items()))
        target.leaving = True
        await _wait_leaving(fleet, name)
        target.restart()
        await anyio.sleep(_LEAVING_BOUND_S)
        for controller in fleet.controllers.values():
            profile = controller.node.targets.find(name).profile
            assert profile.instance == target.instance
            assert not profile.leaving

    _run(scenario, count=9, targets=3)
