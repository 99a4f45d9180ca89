"""Model engines as queues with continuous batching, for experiments.

The model covers what routing and limits react to: a step takes longer the more
requests are in the batch and the more prompt tokens it prefills, a cached
prefix needs no prefill, and the cache holds few prefixes.
"""

import collections
from typing import NamedTuple

import anyio

from cassiarail.core.clock import Clock


class EngineRules(NamedTuple):
    """Hold the speed and limits of an engine; times are seconds."""

    batch_max: int = 16
    step_base_s: float = 0.012
    step_per_request_s: float = 0.001
    prefill_per_token_s: float = 0.0001
    prefill_chunk_tokens: int = 256
    cached_prefixes: int = 12
    slowdown: float = 1.0


class Work(NamedTuple):
    """Describe the tokens of a request; the suffix follows the prefix."""

    prefix: str
    prefix_tokens: int
    suffix_tokens: int
    output_tokens: int


class Job:
    """Track the progress of one request in an engine."""

    def __init__(self, work: Work) -> None:
        self.work = work
        self.prefill_remaining = work.prefix_tokens + work.suffix_tokens
        self.tokens_emitted = 0
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
        self._job_submitted = anyio.Event()

    @property
    def running(self) -> int:
        """Return the number of jobs in the batch."""
        return len(self._batch)

    @property
    def queued(self) -> int:
        """Return the number of jobs that wait for the batch."""
        return len(self._queue)

    def submit(self, job: Job) -> None:
        """Queue a job."""
        self._queue[job] = None
        self._job_submitted.set()

    def cancel(self, job: Job) -> None:
        """Remove a job from the queue or batch; ignore a finished one."""
        self._queue.pop(job, None)
        self._batch.pop(job, None)

    async def run(self) -> None:
        """Run steps while there is work, until cancelled."""
        while True:
            self._fill_batch()
            if not self._batch:
                self._job_submitted = anyio.Event()
                await self._job_submitted.wait()
                continue
            await self._step()

    def _fill_batch(self) -> None:
        while self._queue and len(self._batch) < self._rules.batch_max:
            job, _ = self._queue.popitem(last=False)
            self._batch[job] = None
            self._look_up_prefix(job)

    def _look_up_prefix(self, job: Job) -> None:
        prefix = job.work.prefix
        if prefix in self._cache:
            job.was_cached = True
            job.prefill_remaining -= job.work.prefix_tokens
        self._cache[prefix] = None
        self._cache.move_to_end(prefix)
        if len(self._cache) > self._rules.cached_prefixes:
            self._cache.popitem(last=False)

    async def _step(self) -> None:
        batch = list(self._batch)
        prefilled = self._prefill(batch)
        seconds = (
            self._rules.step_base_s
            + self._rules.step_per_request_s * len(batch)
            + self._rules.prefill_per_token_s * prefilled
        )
        await self._clock.sleep(seconds * self._rules.slowdown)
        for job in batch:
            if not job.prefill_remaining and job in self._batch:
                self._emit_token(job)

    def _prefill(self, batch: list[Job]) -> int:
        """Prefill one chunk of the prompts and return its number of tokens."""
        remaining = self._rules.prefill_chunk_tokens
        for job in batch:
            prefilled = min(remaining, job.prefill_remaining)
            job.prefill_remaining -= prefilled
            remaining -= prefilled
        return self._rules.prefill_chunk_tokens - remaining

    def _emit_token(self, job: Job) -> None:
        job.tokens_emitted += 1
        job.first_token.set()
        if job.tokens_emitted >= job.work.output_tokens:
            self._batch.pop(job)
            job.finished.set()
