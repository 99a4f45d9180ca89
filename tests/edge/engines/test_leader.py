"""Test that planning doesn't starve the host's callers of CPU time."""

import asyncio
import contextlib

from cassiarail.core.loops import run_virtual
from cassiarail.edge.engines.leader import LeaderParts, PlacementLeader

PLAN_S = 0.01
LENGTH_S = 2.0


class BusyClock:
    """Add the time spent on planning to the loop's time."""

    def __init__(self):
        self.spent_s = 0

    def monotonic(self):
        return asyncio.get_running_loop().time() + self.spent_s

    async def sleep(self, seconds):
        await asyncio.sleep(seconds)


class HeldLease:
    """Replace the election by one that this host has always won."""

    def is_held(self):
        return True


class SlowLeader(PlacementLeader):
    """Take a fixed time for each plan, and count the plans."""

    plans = 0

    def _plan(self):
        self.plans += 1
        self._clock.spent_s += PLAN_S


async def count_plans(wake_interval_s):
    parts = LeaderParts(HeldLease(), *([None] * 7))
    leader = SlowLeader(parts, BusyClock())
    task = asyncio.ensure_future(leader.run())
    loop = asyncio.get_running_loop()
    while loop.time() < LENGTH_S:
        await asyncio.sleep(wake_interval_s)
        leader.wake()
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task
    return leader.plans


def test_frequent_demand_reports_limit_planning_to_a_quarter_of_the_time():
    # 85 hosts triggered planning 170 times a second, 10 ms each.
    plans = run_virtual(count_plans, 0.001)
    # LENGTH_S excludes the plans themselves; no pause precedes the first one.
    assert (plans - 1) * PLAN_S <= LENGTH_S / 3


def test_a_wake_during_a_plan_triggers_another_plan():
    plans = run_virtual(count_plans, 0.04)
    assert plans >= LENGTH_S / 0.05
