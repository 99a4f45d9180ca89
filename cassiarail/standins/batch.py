"""Generate tokens for many requests at once by continuous batching."""

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
    """Hold the speed and the limits of an engine; times are seconds.

    A step gives one token to each running request and grows with their
    number.
    """

    step_s: float = 0.012
    step_per_request_s: float = 0.0005
    prefill_token_s: float = 0.0002
    batch_max: int = 48
    queue_max: int = 96
    kv_token_bytes: int = 131_072


class RoleFactors(NamedTuple):
    """Hold the factors by which a role changes the times of an engine."""

    prefill: float
    step: float


# A decoding engine keeps a larger share of each step for tokens.
_DECODE_STEP = 0.8
ROLE_BOTH = 'both'
ROLES = types.MappingProxyType(
    {
        ROLE_BOTH: RoleFactors(1, 1),
        'prefill': RoleFactors(0.5, 2),
        'decode': RoleFactors(2, _DECODE_STEP),
    },
)


class CompletionRequest(NamedTuple):
    """Describe one completion that an engine was asked for."""

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
    poisoned: bool = False


class Generation:
    """Hold the tokens that were generated for one request."""

    def __init__(
        self, work: CompletionRequest, number: int, version: str = ''
    ) -> None:
        """Take the number of its run in the records and the model version."""
        self.work = work
        self.version = version
        self.number = number
        self.tokens: list[str] = []
        self.finish_reason = ''
        self.failure = ''
        self.prefill_s = float(0)
        self.ready_at = float(0)
        self.readers = 0
        self.abandoned_at = float(0)
        self._length = min(
            work.max_tokens, count_natural_tokens(work.fingerprint)
        )
        self._fingerprint = continue_fingerprint(
            work.fingerprint,
            work.resume_after,
            work.generated,
        )
        self._changed = anyio.Event()

    @property
    def is_over(self) -> bool:
        """Tell whether no further token will come."""
        return bool(self.finish_reason or self.failure)

    @property
    def tokens_total(self) -> int:
        """Return the most tokens that its KV cache may hold."""
        return self.work.prompt_tokens + self._length

    def advance(self) -> None:
        """Generate the next token."""
        index = self.work.resume_after + len(self.tokens)
        if index < self._length:
            self.tokens.append(make_token(self._fingerprint, index))
        if index + 1 >= self._length:
            natural = count_natural_tokens(self.work.fingerprint)
            whole = self._length == natural
            self.finish_reason = FINISH_STOP if whole else FINISH_LENGTH
        self._notify()

    def fail(self, reason: str) -> None:
        """End without a complete text."""
        if not self.is_over:
            self.failure = reason
        self._notify()

    async def read_token(self, index: int) -> str | None:
        """Wait for the token at an index; ``None`` after the last one."""
        place = index - self.work.resume_after
        while place >= len(self.tokens):
            if self.is_over:
                return None
            await self._changed.wait()
        return self.tokens[place]

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()


class Batch:
    """Run the generations of one engine, and queue those beyond its limit."""

    def __init__(
        self,
        clock: Clock,
        speed: EngineSpeed,
        kv_limit: Callable[[], int],
        on_token: Callable[[Generation], None],
    ) -> None:
        """Take a function that returns the bytes available for KV caches."""
        self._clock = clock
        self._kv_limit = kv_limit
        self._on_token = on_token
        self._numbers = itertools.count()
        self._waiting: list[tuple[int, int, Generation]] = []
        self._wake = anyio.Event()
        self.speed = speed
        self.role = ROLE_BOTH
        self.running: list[Generation] = []

    @property
    def queued(self) -> int:
        """Return the number of requests that wait to begin."""
        return len(self._waiting)

    @property
    def kv_used_bytes(self) -> int:
        """Return the KV memory that running requests may use."""
        tokens = sum(part.tokens_total for part in self.running)
        return tokens * self.speed.kv_token_bytes

    def submit(self, generation: Generation, prefill_tokens: int) -> None:
        """Queue a generation; higher priorities begin first."""
        prefill_s = prefill_tokens * self.speed.prefill_token_s
        generation.prefill_s = prefill_s * ROLES[self.role].prefill
        entry = (-generation.work.priority, next(self._numbers), generation)
        heapq.heappush(self._waiting, entry)
        self._admit()
        self._wake.set()

    def is_full(self) -> bool:
        """Tell whether the queue takes no more requests."""
        return self.queued >= self.speed.queue_max

    def uses(self, model: str, version: str, adapter: str) -> bool:
        """Tell whether a request in progress needs a model or an adapter."""
        waiting = (entry[-1] for entry in self._waiting)
        return any(
            part.work.model == model
            and part.version == version
            and (not adapter or part.work.adapter == adapter)
            for part in itertools.chain(self.running, waiting)
        )

    def clear(self, reason: str) -> list[Generation]:
        """End all generations without a result; return them."""
        ended = [*self.running, *(entry[-1] for entry in self._waiting)]
        self.running = []
        self._waiting = []
        for generation in ended:
            generation.fail(reason)
        return ended

    def discard(self, generation: Generation) -> None:
        """Remove a cancelled generation."""
        self.running = [part for part in self.running if part is not generation]
        self._waiting = [
            entry for entry in self._waiting if entry[-1] is not generation
        ]
        heapq.heapify(self._waiting)

    async def run(self) -> None:
        """Generate step by step until cancelled."""
        while True:
            self._admit()
            if not self.running:
                self._wake = anyio.Event()
                await self._wake.wait()
                continue
            await self._clock.sleep(self._step_seconds())
            self._step()

    def _step_seconds(self) -> float:
        per_request = self.speed.step_per_request_s * len(self.running)
        return (self.speed.step_s + per_request) * ROLES[self.role].step

    def _step(self) -> None:
        now = self._clock.monotonic()
        for generation in tuple(self.running):
            if generation.ready_at > now or generation.is_over:
                continue
            generation.advance()
            self._on_token(generation)
        self.running = [part for part in self.running if not part.is_over]

    def _admit(self) -> None:
        while self._waiting and len(self.running) < self.speed.batch_max:
            generation = self._waiting[0][-1]
            needed = generation.tokens_total * self.speed.kv_token_bytes
            free = self._kv_limit() - self.kv_used_bytes
            # A request that fits in no free memory runs alone.
            if needed > free and self.running:
                return
            heapq.heappop(self._waiting)
            started_at = self._clock.monotonic()
            generation.ready_at = started_at + generation.prefill_s
            self.running.append(generation)
