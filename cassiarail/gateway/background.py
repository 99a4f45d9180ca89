"""Run what isn't part of any one request."""

import collections
from collections.abc import Awaitable, Callable

import anyio

from cassiarail.core.clock import Clock
from cassiarail.core.lifecycle import Component
from cassiarail.routing.snapshot import RoutingSnapshot
from cassiarail.targets.connections import ConnectionPools

Job = Callable[[], Awaitable[None]]
_CAPACITY = 2000
_MAX_PARALLEL_JOBS = 32
_DRAIN_TIMEOUT_S = 5
_SWEEP_INTERVAL_S = 60


class BackgroundJobs(Component):
    """Run submitted jobs, a bounded number at a time.

    Jobs handle their own errors. What is queued at the end of the drain time
    is given up.
    """

    name = 'background-jobs'

    def __init__(self, capacity: int = _CAPACITY) -> None:
        self._capacity = capacity
        self._queue: collections.deque[Job] = collections.deque()
        self._running = 0
        self._changed = anyio.Event()

    def is_full(self) -> bool:
        """Tell whether new work that may need a job should be refused."""
        return len(self._queue) + self._running >= self._capacity

    def submit(self, job: Job) -> None:
        """Queue a job; never fails, so that no clean-up is lost."""
        self._queue.append(job)
        self._signal()

    async def run(self) -> None:
        """Run jobs until cancelled."""
        self._running = 0
        async with anyio.create_task_group() as group:
            while True:
                while self._queue and self._running < _MAX_PARALLEL_JOBS:
                    self._running += 1
                    group.start_soon(self._run_job, self._queue.popleft())
                await self._changed.wait()

    async def drain(self) -> None:
        """Wait until all jobs are done, for a bounded time."""
        with anyio.move_on_after(_DRAIN_TIMEOUT_S):
            while self._queue or self._running:
                await self._changed.wait()

    async def _run_job(self, job: Job) -> None:
        try:
            await job()
        finally:
            self._running -= 1
            self._signal()

    def _signal(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()


class PoolCleaner(Component):
    """Keep the pools to the addresses of the snapshot.

    Targets are replaced all the time; without this, the pool of each address
    that was ever used would stay.
    """

    name = 'pools'

    def __init__(
        self,
        pools: ConnectionPools,
        snapshot: Callable[[], RoutingSnapshot],
        clock: Clock,
    ) -> None:
        self._pools = pools
        self._snapshot = snapshot
        self._clock = clock

    async def run(self) -> None:
        """Compare the pools with the snapshot once a minute."""
        while True:
            await self._clock.sleep(_SWEEP_INTERVAL_S)
            await self.sweep()

    async def sweep(self) -> None:
        """Retire the pools of addresses that no target has any more."""
        targets = self._snapshot().targets
        if targets:
            await self._pools.close_idle(
                {target.address for target in targets},
            )

    async def stop(self) -> None:
        """Close all connections to targets."""
        await self._pools.aclose()
