"""Guard membership against crashes, partitions and replacement of hosts."""

import anyio
import pytest

from cassiarail.control.configuration import (
    apply_configuration,
    describe_rollout,
)
from cassiarail.core.clock import MANUAL_START, LoopClock
from cassiarail.core.loops import run_virtual
from cassiarail.membership.peers import (
    HEARTBEAT_S,
    REMOVE_AFTER_S,
    SUSPECT_AFTER_S,
)
from cassiarail.membership.simulation import SimulatedFleet, name_controllers
from cassiarail.store.backends.memory import MemoryObjectStore

_COUNT = 54
_SETTLE_S = 15
_LEAVING_BOUND_S = 3
# The last heartbeat of a dead member takes up to one interval to arrive.
_NOTICED_S = SUSPECT_AFTER_S + HEARTBEAT_S


def _run(scenario, count=_COUNT, targets=0):
    async def run():
        clock = LoopClock(MANUAL_START)
        async with anyio.create_task_group() as group:
            store = MemoryObjectStore(clock)
            fleet = SimulatedFleet(group, clock, store, 1, targets)
            for address in name_controllers(count):
                fleet.start(address)
            await anyio.sleep(_SETTLE_S)
            await scenario(fleet)
            group.cancel_scope.cancel()

    run_virtual(run)


def _disagreeing(fleet, expected):
    """Return the controllers of a set that see other live members."""
    return {
        address: set(expected) ^ set(seen)
        for address in expected
        if set(seen := fleet.controllers[address].node.peers.list_live())
        != set(expected)
    }


def test_operators_see_which_nodes_have_a_generation():
    """A node that is behind or gone must not be reported as up to date."""

    async def scenario(fleet):
        gone, *others = name_controllers(5)
        fleet.kill(gone)
        await apply_configuration(fleet.store, 0, {}, 'ana', 't', fleet.clock)
        await anyio.sleep(_NOTICED_S)
        peers = fleet.controllers[others[0]].node.peers
        rollout = describe_rollout(1, peers.describe_members(fleet.seeds))
        assert rollout.in_force == tuple(others)
        assert not rollout.behind
        assert rollout.unreachable == (gone,)

    _run(scenario, count=5)


def test_half_of_the_controllers_die_at_once():
    """Survivors that keep dead members would leave targets unpolled."""

    async def scenario(fleet):
        everyone = name_controllers(_COUNT)
        for address in everyone[::2]:
            fleet.kill(address)
        await anyio.sleep(_NOTICED_S)
        assert not _disagreeing(fleet, everyone[1::2])
        await anyio.sleep(REMOVE_AFTER_S)
        assert not _disagreeing(fleet, everyone[1::2])

    _run(scenario)


@pytest.mark.parametrize('partition_s', [10, 60])
def test_partition_heals(partition_s):
    """Both sides must go on, and find each other again afterwards."""

    async def scenario(fleet):
        everyone = name_controllers(_COUNT)
        left = everyone[:20]
        for address in left:
            fleet.network.join_group(address, 'left')
        fleet.network.block('left', '')
        await anyio.sleep(partition_s)
        if partition_s > _NOTICED_S:
            assert not _disagreeing(fleet, left)
            assert not _disagreeing(fleet, everyone[20:])
        fleet.network.heal()
        await anyio.sleep(_SETTLE_S)
        assert not _disagreeing(fleet, everyone)

    _run(scenario)


def test_all_controllers_are_replaced_one_by_one():
    """New hosts must join while old ones die, and no dead one may stay."""

    async def scenario(fleet):
        fresh = [f'10.0.1.{number}:7001' for number in range(1, _COUNT + 1)]
        for old, new in zip(name_controllers(_COUNT), fresh, strict=True):
            fleet.kill(old)
            fleet.start(new)
            fleet.seeds.remove(old)
            await anyio.sleep(0.5)
        await anyio.sleep(_NOTICED_S)
        assert not _disagreeing(fleet, fresh)

    _run(scenario)


def test_restart_at_the_same_address():
    """Peers that hold a later heartbeat must accept the new incarnation."""

    async def scenario(fleet):
        address = name_controllers(9)[0]
        fleet.kill(address)
        await anyio.sleep(0.5)
        fleet.start(address)
        await anyio.sleep(_SETTLE_S)
        assert not _disagreeing(fleet, name_controllers(9))

    _run(scenario, count=9)


def test_a_restarted_controller_learns_what_it_once_told():
    """Peers that think it still holds its own news would never send them."""

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


def test_graceful_leave_is_known_at_once():
    """A planned stop must not cost the time of a suspicion."""

    async def scenario(fleet):
        address = name_controllers(9)[0]
        await fleet.controllers[address].node.drain()
        fleet.kill(address)
        await anyio.sleep(0.1)
        assert not _disagreeing(fleet, name_controllers(9)[1:])

    _run(scenario, count=9)


async def _wait_leaving(fleet, name):
    started_at = anyio.current_time()
    while not all(
        controller.node.targets.find(name).profile.leaving
        for controller in fleet.controllers.values()
    ):
        await anyio.sleep(0.05)
        assert anyio.current_time() - started_at <= _LEAVING_BOUND_S


def test_leaving_reaches_every_member():
    """A member that misses it would send new work to a leaving target."""

    async def scenario(fleet):
        for name, target in fleet.targets.items():
            target.leaving = True
            await _wait_leaving(fleet, name)

    _run(scenario, targets=12)


def test_leaving_is_found_although_its_poller_dies():
    """Another controller must poll in time when the first one crashes."""

    async def scenario(fleet):
        for name, target in list(fleet.targets.items()):
            await anyio.sleep(1)
            pollers = [
                address
                for address, controller in fleet.controllers.items()
                if controller.poller.find_rank(name) == 0
            ]
            fleet.kill(pollers[0])
            target.leaving = True
            await _wait_leaving(fleet, name)

    _run(scenario, count=27, targets=12)


def test_a_restarted_target_is_no_longer_leaving():
    """A new instance must receive work again, and old news must not return."""

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
