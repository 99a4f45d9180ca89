"""Test that a host's watch resumes in time when state updates stop."""

import asyncio

from cassiarail.core.clock import LoopClock
from cassiarail.core.loops import run_virtual
from cassiarail.edge.fleet.state_updates import StateUpdateReceiver
from cassiarail.edge.registry.store_polling import (
    CheckPacer,
    ConfigurationPacer,
    TargetPacer,
)
from tests.edge.fleet.test_state_updates import make_state_update, receive

# The shortest limit on requests to a leaving target.
DRAIN_LIMIT_S = 2.0


async def measure_pause(
    last_update_s, *, is_leader=False, store_fails_at_s=None
):
    clock = LoopClock()
    receiver = StateUpdateReceiver(clock)
    pacer = TargetPacer(receiver, lambda: is_leader, clock)
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    receive(receiver, make_state_update(sent_at=clock.monotonic()))
    pause = asyncio.ensure_future(pacer.pause(clock.monotonic()))
    while not pause.done():
        await asyncio.sleep(0.5)
        now = loop.time() - started_at
        if store_fails_at_s is not None and now >= store_fails_at_s:
            receive(
                receiver,
                make_state_update(contact_s=-1, sent_at=clock.monotonic()),
            )
        elif now <= last_update_s:
            receive(receiver, make_state_update(sent_at=clock.monotonic()))
    await pause
    return loop.time() - started_at


def test_a_host_pauses_while_state_updates_arrive():
    assert run_virtual(measure_pause, 60) >= 60


def test_a_host_watches_within_the_limit_after_the_last_state_update():
    # The leader may be suspended or disconnected just before a change.
    assert run_virtual(measure_pause, 5) - 5 < DRAIN_LIMIT_S


def test_a_host_watches_at_once_if_the_leader_lost_the_store():
    async def main():
        return await measure_pause(60, store_fails_at_s=4)

    assert run_virtual(main) <= 5


def test_the_leader_does_not_wait_for_its_own_state_updates():
    async def main():
        return await measure_pause(60, is_leader=True)

    assert run_virtual(main) <= 0.5


def test_a_host_fetches_a_configuration_that_the_leader_announces():
    async def main():
        clock = LoopClock()
        receiver = StateUpdateReceiver(clock)
        pacer = ConfigurationPacer(receiver, lambda: False, clock, lambda: 4)
        receive(
            receiver,
            make_state_update(configuration=4, sent_at=clock.monotonic()),
        )
        pause = asyncio.ensure_future(pacer.pause(clock.monotonic()))
        await asyncio.sleep(1)
        assert not pause.done()
        receive(
            receiver,
            make_state_update(configuration=7, sent_at=clock.monotonic()),
        )
        announced_at = asyncio.get_running_loop().time()
        await pause
        return asyncio.get_running_loop().time() - announced_at

    assert run_virtual(main) <= 0.25


def test_in_an_outage_the_hosts_together_check_at_a_constant_rate():
    clock = LoopClock()

    async def measure(hosts):
        receiver = StateUpdateReceiver(clock)
        pacer = CheckPacer(receiver, lambda: False, lambda: hosts, lambda: True)
        return pacer.interval_s()

    async def main():
        # Without a leader, a small fleet loads no models; each tenth counts.
        assert await measure(6) <= 0.3
        # A store counts as stable 3 s after an outage, in large fleets later.
        assert await measure(40) <= 2.0
        assert await measure(64) == await measure(380) == 3.0

    run_virtual(main)
