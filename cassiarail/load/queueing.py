"""Model engines as queues with continuous batching, for experiments.

The model keeps what routing and limits react to: a step takes longer the more
requests are in the batch and the more prompt it reads, a cached prefix need
not be read again, and the cache holds few prefixes.
"""

import collections
from typing import NamedTuple

import anyio

from cassiarail.core.clock import Clock


class EngineRules(NamedTuple):
    """Hold the speed and size of an engine; times are seconds."""

    batch_max: int = 16
    step_base_s: float = 0.012
    step_per_request_s: float = 0.001
    prefill_per_token_s: float = 0.0001
    prefill_chunk_tokens: int = 256
    cached_prefixes: int = 12
    slowdown: float = 1.0


class Work(NamedTuple):
    """Describe the tokens of a request."""

    prefix: str
    prefix_tokens: int
    own_tokens: int
    output_tokens: int


class Job:
    """Follow one request through an engine."""

    def __init__(self, work: Work) -> None:
        self.work = work
        self.prefill_left = work.prefix_tokens + work.own_tokens
        self.produced = 0
        self.was_cached = False
        self.first_token = anyio.Event()
        self.finished = anyio.Event()


class EngineModel:
    """Run jobs in batches, first come first served."""

    def __init__(self, name: str, clock: Clock, rules: EngineRules) -> None:
        self.name = name
        self._clock = clock
        self._rules = rules
        self._queue: collections.OrderedDict[Job, None] = (
            collections.OrderedDict()
        )
        self._batch: dict[Job, None] = {}
        self._cache: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._arrived = anyio.Event()

    @property
    def running(self) -> int:
        """Return the jobs in the batch."""
        return len(self._batch)

    @property
    def queued(self) -> int:
        """Return the jobs that wait for the batch."""
        return len(self._queue)

    def submit(self, job: Job) -> None:
        """Queue a job."""
        self._queue[job] = None
        self._arrived.set()

    def cancel(self, job: Job) -> None:
        """Drop a job wherever it is; do nothing for a finished one."""
        self._queue.pop(job, None)
        self._batch.pop(job, None)

    async def run(self) -> None:
        """Run steps while there is work, until cancelled."""
        while True:
            self._fill_batch()
            if not self._batch:
                self._arrived = anyio.Event()
                await self._arrived.wait()
                continue
            await self._step()

    def _fill_batch(self) -> None:
        while self._queue and len(self._batch) < self._rules.batch_max:
            job, _ = self._queue.popitem(last=False)
            self._batch[job] = None
            self._read_cache(job)

    def _read_cache(self, job: Job) -> None:
        prefix = job.work.prefix
        if prefix in self._cache:
            job.was_cached = True
            job.prefill_left -= job.work.prefix_tokens
        self._cache[prefix] = None
        self._cache.move_to_end(prefix)
        if len(self._cache) > self._rules.cached_prefixes:
            self._cache.popitem(last=False)

    async def _step(self) -> None:
        batch = list(self._batch)
        read = self._prefill(batch)
        seconds = (
            self._rules.step_base_s
            + self._rules.step_per_request_s * len(batch)
            + self._rules.prefill_per_token_s * read
        )
        await self._clock.sleep(seconds * self._rules.slowdown)
        for job in batch:
            if not job.prefill_left and job in self._batch:
                self._produce(job)

    def _prefill(self, batch: list[Job]) -> int:
        """Read a chunk of the prompts and return its tokens."""
        left = self._rules.prefill_chunk_tokens
        for job in batch:
            read = min(left, job.prefill_left)
            job.prefill_left -= read
            left -= read
        return self._rules.prefill_chunk_tokens - left

    def _produce(self, job: Job) -> None:
        job.produced += 1
        job.first_token.set()
        if job.produced >= job.work.output_tokens:
            self._batch.pop(job)
            job.finished.set()
