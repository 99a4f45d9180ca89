"""Guard that planning leaves the host's time to its callers."""

import asyncio
import contextlib

from cassiarail.core.loops import run_virtual
from cassiarail.edge.leader import LeaderParts, PlacementLeader

PLAN_S = 0.01
LENGTH_S = 2.0


class BusyClock:
    """Count time that planning takes on top of the loop's."""

    def __init__(self):
        self.spent_s = 0

    def monotonic(self):
        return asyncio.get_running_loop().time() + self.spent_s

    async def sleep(self, seconds):
        await asyncio.sleep(seconds)


class Always:
    """Hold the lease at all times."""

    def is_held(self):
        return True


class SlowHolder(PlacementLeader):
    """Plan for a while, and count it."""

    plans = 0

    def _plan(self):
        self.plans += 1
        self._clock.spent_s += PLAN_S


async def count_plans(wake_s):
    parts = LeaderParts(Always(), *([None] * 7))
    holder = SlowHolder(parts, BusyClock())
    work = asyncio.ensure_future(holder.run())
    loop = asyncio.get_running_loop()
    while loop.time() < LENGTH_S:
        await asyncio.sleep(wake_s)
        holder.wake()
    work.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await work
    return holder.plans


def test_many_digests_leave_three_quarters_of_the_time():
    # 85 hosts woke the planning 170 times a second, 10 ms each.
    plans = run_virtual(count_plans, 0.001)
    # The play's time excludes the plans themselves; the first one has no rest
    # before it.
    assert (plans - 1) * PLAN_S <= LENGTH_S / 3


def test_a_wake_during_a_plan_is_not_lost():
    plans = run_virtual(count_plans, 0.04)
    assert plans >= LENGTH_S / 0.05
