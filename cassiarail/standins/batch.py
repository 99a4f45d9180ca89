"""Simulate token generation with continuous batching."""

import heapq
import itertools
import types
from collections.abc import Callable
from typing import NamedTuple

import anyio

from cassiarail.core.clock import Clock
from cassiarail.standins.tokens import (
    continue_fingerprint,
    count_natural_tokens,
    make_token,
)

FINISH_STOP = 'stop'
FINISH_LENGTH = 'length'


class EngineSpeed(NamedTuple):
    """Hold the speed and limits of an engine; times are in seconds.

    A step generates one token for each running request and takes longer the
    more requests run.
    """

    step_s: float = 0.012
    step_per_request_s: float = 0.0005
    prefill_token_s: float = 0.0002
    batch_max: int = 48
    queue_max: int = 96
    kv_token_bytes: int = 131_072


class RoleFactors(NamedTuple):
    """Hold the factors that a role applies to prefill and step times."""

    prefill: float
    step: float


# A decode engine spends a larger share of each step on tokens.
_DECODE_STEP_FACTOR = 0.8
ROLE_BOTH = 'both'
ROLES = types.MappingProxyType(
    {
        ROLE_BOTH: RoleFactors(1, 1),
        'prefill': RoleFactors(0.5, 2),
        'decode': RoleFactors(2, _DECODE_STEP_FACTOR),
    },
)


class CompletionRequest(NamedTuple):
    """Hold the parameters of one completion request."""

    request_id: str
    model: str
    adapter: str
    fingerprint: str
    prefix: str
    prompt_tokens: int
    max_tokens: int
    priority: int = 0
    resume_after: int = 0
    generated: str = ''
    is_poisoned: bool = False


class Generation:
    """Hold the tokens generated for one request and its outcome."""

    def __init__(
        self, completion: CompletionRequest, run_number: int, version: str = ''
    ) -> None:
        """Create a generation; ``run_number`` is its index in the records."""
        self.completion = completion
        self.version = version
        self.run_number = run_number
        self.tokens: list[str] = []
        self.finish_reason = ''
        self.failure = ''
        self.prefill_s = float(0)
        self.ready_at = float(0)
        self.readers = 0
        self.abandoned_at = float(0)
        self._token_count = min(
            completion.max_tokens, count_natural_tokens(completion.fingerprint)
        )
        self._fingerprint = continue_fingerprint(
            completion.fingerprint,
            completion.resume_after,
            completion.generated,
        )
        self._changed = anyio.Event()

    @property
    def is_finished(self) -> bool:
        """Return whether generation has finished or failed."""
        return bool(self.finish_reason or self.failure)

    @property
    def context_tokens_max(self) -> int:
        """Return the maximum number of tokens in its KV cache."""
        return self.completion.prompt_tokens + self._token_count

    def generate_token(self) -> None:
        """Generate the next token."""
        index = self.completion.resume_after + len(self.tokens)
        if index < self._token_count:
            self.tokens.append(make_token(self._fingerprint, index))
        if index + 1 >= self._token_count:
            natural_count = count_natural_tokens(self.completion.fingerprint)
            stops_naturally = self._token_count == natural_count
            self.finish_reason = (
                FINISH_STOP if stops_naturally else FINISH_LENGTH
            )
        self._wake_readers()

    def fail(self, reason: str) -> None:
        """Mark the generation as failed, unless it has finished."""
        if not self.is_finished:
            self.failure = reason
        self._wake_readers()

    async def read_token(self, index: int) -> str | None:
        """Wait for the token at an index; ``None`` after the last one."""
        position = index - self.completion.resume_after
        while position >= len(self.tokens):
            if self.is_finished:
                return None
            await self._changed.wait()
        return self.tokens[position]

    def _wake_readers(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()


class Batch:
    """Run the generations of one engine and queue those above its limit."""

    def __init__(
        self,
        clock: Clock,
        speed: EngineSpeed,
        get_kv_limit: Callable[[], int],
        on_token: Callable[[Generation], None],
    ) -> None:
        """Create a batch; ``get_kv_limit`` returns the bytes for KV caches."""
        self._clock = clock
        self._get_kv_limit = get_kv_limit
        self._on_token = on_token
        self._arrival_numbers = itertools.count()
        self._queue: list[tuple[int, int, Generation]] = []
        self._submitted = anyio.Event()
        self.speed = speed
        self.role = ROLE_BOTH
        self.running: list[Generation] = []

    @property
    def queued(self) -> int:
        """Return the number of queued requests."""
        return len(self._queue)

    @property
    def kv_used_bytes(self) -> int:
        """Return the KV cache bytes reserved for running requests."""
        context_tokens = sum(
            active.context_tokens_max for active in self.running
        )
        return context_tokens * self.speed.kv_token_bytes

    def submit(self, generation: Generation, prefill_tokens: int) -> None:
        """Queue a generation; higher priorities start first."""
        prefill_s = prefill_tokens * self.speed.prefill_token_s
        generation.prefill_s = prefill_s * ROLES[self.role].prefill
        entry = (
            -generation.completion.priority,
            next(self._arrival_numbers),
            generation,
        )
        heapq.heappush(self._queue, entry)
        self._admit()
        self._submitted.set()

    def is_full(self) -> bool:
        """Return whether the queue is full."""
        return self.queued >= self.speed.queue_max

    def is_in_use(self, model: str, version: str, adapter: str) -> bool:
        """Return whether an unfinished request uses a model or adapter."""
        queued_generations = (entry[-1] for entry in self._queue)
        return any(
            generation.completion.model == model
            and generation.version == version
            and (not adapter or generation.completion.adapter == adapter)
            for generation in itertools.chain(self.running, queued_generations)
        )

    def clear(self, reason: str) -> list[Generation]:
        """Fail and remove all generations; return them."""
        ended = [*self.running, *(entry[-1] for entry in self._queue)]
        self.running = []
        self._queue = []
        for generation in ended:
            generation.fail(reason)
        return ended

    def discard(self, generation: Generation) -> None:
        """Remove a cancelled generation."""
        self.running = [
            other for other in self.running if other is not generation
        ]
        self._queue = [
            entry for entry in self._queue if entry[-1] is not generation
        ]
        heapq.heapify(self._queue)

    async def run(self) -> None:
        """Run generation steps until cancelled."""
        while True:
            self._admit()
            if not self.running:
                self._submitted = anyio.Event()
                await self._submitted.wait()
                continue
            await self._clock.sleep(self._compute_step_s())
            self._run_step()

    def _compute_step_s(self) -> float:
        requests_step_s = self.speed.step_per_request_s * len(self.running)
        return (self.speed.step_s + requests_step_s) * ROLES[self.role].step

    def _run_step(self) -> None:
        now = self._clock.monotonic()
        for generation in tuple(self.running):
            if generation.ready_at > now or generation.is_finished:
                continue
            generation.generate_token()
            self._on_token(generation)
        self.running = [
            active for active in self.running if not active.is_finished
        ]

    def _admit(self) -> None:
        while self._queue and len(self.running) < self.speed.batch_max:
            generation = self._queue[0][-1]
            needed_bytes = (
                generation.context_tokens_max * self.speed.kv_token_bytes
            )
            free_bytes = self._get_kv_limit() - self.kv_used_bytes
            # A request larger than the free memory runs alone.
            if needed_bytes > free_bytes and self.running:
                return
            heapq.heappop(self._queue)
            started_at = self._clock.monotonic()
            generation.ready_at = started_at + generation.prefill_s
            self.running.append(generation)
