"""Stand in for a model engine (docs/design.md, section 4.2)."""

import random
from collections.abc import Callable
from typing import Any, NamedTuple

import anyio
from anyio.abc import TaskGroup

from cassiarail.core.clock import Clock
from cassiarail.core.events import emit_event
from cassiarail.standins.batch import (
    ROLE_BOTH,
    ROLES,
    Batch,
    CompletionRequest,
    EngineSpeed,
    Generation,
)
from cassiarail.standins.events import (
    TARGET_CRASHED,
    TARGET_LEAVING,
    TARGET_RESTARTED,
    TARGET_STOPPED,
)
from cassiarail.standins.faults import FaultName, Faults
from cassiarail.standins.holdings import (
    AdapterLoads,
    Holdings,
    HoldingsHooks,
    Order,
    WeightFetcher,
)
from cassiarail.standins.loads import LoadHistory, LoadNumbers
from cassiarail.standins.prefix_cache import CacheReporting, PrefixCache
from cassiarail.standins.records import (
    CANCELLED,
    COMPLETED,
    CRASHED,
    CUT_BY_STOP,
    ExecutionRecords,
)

# Tokens that a poisoned request generates before its engine crashes.
_POISON_TOKENS = 3
# Share of the memory that remains for KV caches however much is loaded.
_KV_SHARE_MIN = 0.05


class EngineSettings(NamedTuple):
    """Hold what distinguishes an engine; times are seconds.

    ``orphan_s`` is how long a generation goes on without a reader, so that
    the stream can be resumed.
    """

    name: str
    service: str
    data_centre: str
    address: str
    memory_bytes: int
    accelerators: int = 1
    checks_fence: bool = True
    speed: EngineSpeed = EngineSpeed()
    report_lag_s: float = 0.5
    orphan_s: float = 10
    prefix_tokens: int = 200_000
    cache_reporting: CacheReporting = CacheReporting()


class EngineEnvironment(NamedTuple):
    """Hold what the engines of a deployment share."""

    clock: Clock
    generator: random.Random
    faults: Faults
    records: ExecutionRecords
    fetch: WeightFetcher
    adapter_loads: AdapterLoads


class Engine:
    """Generate text for the requests of one target address."""

    def __init__(
        self,
        settings: EngineSettings,
        environment: EngineEnvironment,
    ) -> None:
        self.settings = settings
        self.environment = environment
        # Breaks the connections of a crashed target; its owner sets it.
        self.on_crash: Callable[[], None] = _ignore_crash
        self._group: TaskGroup | None = None
        self._incarnation = 0
        self.batch = Batch(
            environment.clock,
            settings.speed,
            self._kv_limit,
            self._watch_token,
        )
        self._reset()

    @property
    def in_progress(self) -> int:
        """Return the number of requests that run or wait."""
        return len(self.batch.running) + self.batch.queued

    async def run(self) -> None:
        """Generate tokens and execute orders until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            group.start_soon(self._drop_orphans)
            await self.batch.run()

    def crash(self) -> None:
        """Lose all state and break all connections at once."""
        if self.is_down:
            return
        emit_event(TARGET_CRASHED, target=self.settings.name)
        self._go_down(CRASHED)
        self.on_crash()

    def restart(self) -> None:
        """Come back as a new, empty instance."""
        self._reset()
        emit_event(TARGET_RESTARTED, target=self.settings.name)

    def leave(self) -> None:
        """Refuse new work from now on; those in progress finish."""
        self.is_leaving = True
        self.environment.records.record_departure(
            self.settings.name,
            self.holdings.instance,
        )
        emit_event(TARGET_LEAVING, target=self.settings.name)

    def stop(self) -> None:
        """End a planned stop; work that is still in progress is cut."""
        emit_event(TARGET_STOPPED, target=self.settings.name)
        self._go_down(CUT_BY_STOP)

    def _reset(self) -> None:
        self._incarnation += 1
        environment = self.environment
        instance = f'{self.settings.name}#{self._incarnation}'
        self.is_down = False
        self.batch.role = ROLE_BOTH
        self.is_leaving = False
        self.streams: dict[str, Generation] = {}
        self.holdings = Holdings(
            self.settings.name,
            instance,
            self.settings.memory_bytes,
            environment.clock,
            environment.records,
            environment.fetch,
            environment.adapter_loads,
            HoldingsHooks(
                self.batch.uses, self._forget_prefixes, self._take_role
            ),
        )
        self.loads = LoadHistory(
            environment.clock, instance, self.settings.report_lag_s
        )
        self.prefixes = PrefixCache(
            environment.clock,
            environment.generator,
            self.settings.prefix_tokens,
            self.settings.cache_reporting,
        )

    def _go_down(self, outcome: str) -> None:
        self.is_down = True
        self.holdings.close()
        for generation in self.batch.clear(outcome):
            self.environment.records.record_run_end(generation.number, outcome)
        self.streams.clear()

    def _take_role(self, role: str) -> bool:
        if role not in ROLES:
            return False
        self.batch.role = role
        return True

    def _forget_prefixes(self, model: str) -> None:
        if self.holdings.find_version(model) is None:
            self.prefixes.drop_model(model)

    def _kv_limit(self) -> int:
        free = self.settings.memory_bytes - self.holdings.held_bytes
        return max(free, int(self.settings.memory_bytes * _KV_SHARE_MIN))

    def _watch_token(self, generation: Generation) -> None:
        work = generation.work
        faults = self.environment.faults
        name = self.settings.name
        poisoned = (
            work.poisoned
            and len(generation.tokens) >= _POISON_TOKENS
            and faults.is_on(FaultName.POISON_REQUEST, name)
        )
        if poisoned:
            self.crash()
        elif generation.is_over:
            self.environment.records.record_run_end(
                generation.number, COMPLETED
            )
            self.sample_load()

    def find_refusal(self, work: CompletionRequest) -> str:
        """Return why a request is not begun, or an empty string."""
        if self.is_leaving:
            return 'leaving'
        if self.holdings.find_version(work.model, work.adapter) is None:
            return 'not_loaded'
        return 'overloaded' if self.batch.is_full() else ''

    def begin(self, work: CompletionRequest) -> Generation:
        """Begin to generate for a request."""
        number = self.environment.records.record_run_start(
            self.settings.name,
            self.holdings.instance,
            work.request_id,
            work.fingerprint,
            resume_after=work.resume_after,
        )
        version = self.holdings.find_version(work.model, work.adapter)
        generation = Generation(work, number, version or '')
        cached = self.prefixes.store(
            work.model, work.prefix, work.prompt_tokens
        )
        prefill = 1 if cached else work.prompt_tokens + work.resume_after
        self.streams[work.request_id] = generation
        self.batch.submit(generation, prefill)
        self.sample_load()
        return generation

    def cancel(self, request_id: str) -> bool:
        """Cancel a request; tell whether it was known."""
        generation = self.streams.pop(request_id, None)
        if generation is None:
            return False
        if not generation.is_over:
            generation.fail(CANCELLED)
            self.batch.discard(generation)
            self.environment.records.record_run_end(
                generation.number, CANCELLED
            )
            self.sample_load()
        return True

    async def _drop_orphans(self) -> None:
        """Cancel generations that nobody has read for some time."""
        while True:
            await self.environment.clock.sleep(1)
            until = self.environment.clock.monotonic() - self.settings.orphan_s
            for request_id, generation in tuple(self.streams.items()):
                orphaned = not generation.readers and (
                    generation.abandoned_at < until
                )
                if orphaned and generation.abandoned_at:
                    self.cancel(request_id)

    def sample_load(self) -> None:
        """Take the numbers for later load reports."""
        self.loads.sample(
            LoadNumbers(
                len(self.batch.running),
                self.batch.queued,
                self.settings.speed.batch_max,
                self.batch.kv_used_bytes,
                self._kv_limit(),
            ),
        )

    def accept_order(self, order: Order) -> str:
        """Begin an order; return why it is refused, or an empty string."""
        holdings = self.holdings
        if order.instance != holdings.instance:
            return 'other_instance'
        if self.settings.checks_fence and order.fence < holdings.fence:
            return 'stale_fence'
        if self._group is None:
            return 'starting'
        if order.order_id not in holdings.orders:
            holdings.begin(order)
            self._group.start_soon(holdings.execute, order)
        return ''

    def describe_state(self) -> dict[str, Any]:
        """Return the engine's own report."""
        holdings = self.holdings
        return {
            'instance': holdings.instance,
            'fence': holdings.fence,
            'role': holdings.role,
            'leaving': self.is_leaving,
            'memory_bytes': holdings.memory_bytes,
            'held': [part.describe() for part in holdings.held],
            'orders': [part._asdict() for part in holdings.orders.values()],
        }


def _ignore_crash() -> None:
    """Stand for the owner of a target that nobody owns."""
