"""Guard that an own watch resumes in time when the ledgers stop."""

import asyncio

from cassiarail.core.clock import LoopClock
from cassiarail.core.loops import run_virtual
from cassiarail.edge.pace import StorePace
from cassiarail.edge.state_updates import StateUpdateReceiver
from tests.edge.test_state_updates import make_state_update

# The shortest bound on requests to a target that is leaving.
DRAIN_S = 2.0


async def measure_pause(last_beat_s, *, is_leader=False, fails_s=None):
    clock = LoopClock()
    feed = StateUpdateReceiver(clock)
    pace = StorePace(feed, lambda: is_leader, clock)
    loop = asyncio.get_running_loop()
    begun = loop.time()
    feed.receive(make_state_update())
    pausing = asyncio.ensure_future(pace.pause_targets(clock.monotonic()))
    while not pausing.done():
        await asyncio.sleep(0.5)
        now = loop.time() - begun
        if fails_s is not None and now >= fails_s:
            feed.receive(make_state_update(contact_s=-1))
        elif now <= last_beat_s:
            feed.receive(make_state_update())
    await pausing
    return loop.time() - begun


def test_a_host_waits_while_ledgers_come():
    assert run_virtual(measure_pause, 60) >= 11


def test_a_host_watches_within_the_bound_after_the_last_beat():
    # The order holder may be frozen or cut off just before a change.
    assert run_virtual(measure_pause, 5) - 5 < DRAIN_S


def test_a_host_watches_at_once_when_the_holder_lost_the_store():
    async def main():
        return await measure_pause(60, fails_s=4)

    assert run_virtual(main) <= 5


def test_the_holder_does_not_wait_for_its_own_ledgers():
    async def main():
        return await measure_pause(60, is_leader=True)

    assert run_virtual(main) <= 0.5
