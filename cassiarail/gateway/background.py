"""Run work that isn't bound to a single request."""

import collections
from collections.abc import Awaitable, Callable

import anyio

from cassiarail.core.clock import Clock
from cassiarail.core.lifecycle import Component
from cassiarail.routing.snapshot import RoutingSnapshot
from cassiarail.targets.connections import ConnectionPools

Job = Callable[[], Awaitable[None]]
_MAX_JOBS = 2000
_MAX_PARALLEL_JOBS = 32
_DRAIN_TIMEOUT_S = 5
_SWEEP_INTERVAL_S = 60


class BackgroundJobs(Component):
    """Run submitted jobs, a bounded number at a time.

    Jobs handle their own errors. Jobs that are still queued when the drain
    timeout expires are discarded.
    """

    name = 'background-jobs'

    def __init__(self, capacity: int = _MAX_JOBS) -> None:
        self._capacity = capacity
        self._queue: collections.deque[Job] = collections.deque()
        self._running = 0
        self._changed = anyio.Event()

    def is_full(self) -> bool:
        """Return whether new work that may need a job should be refused."""
        return len(self._queue) + self._running >= self._capacity

    def submit(self, job: Job) -> None:
        """Queue a job; never fail, so that no clean-up is skipped."""
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
        """Wait until all jobs are done or the drain timeout expires."""
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
    """Close the connection pools of addresses not in the snapshot.

    Targets are replaced often; otherwise the pool of every address that was
    ever used would remain open.
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
        """Close the pools of addresses that no target uses any more."""
        targets = self._snapshot().targets
        if targets:
            await self._pools.close_except(
                {target.address for target in targets},
            )

    async def stop(self) -> None:
        """Close all connections to targets."""
        await self._pools.aclose()
