"""Simulate a model engine (docs/design.md, section 4.2)."""

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
from cassiarail.standins.faults import ActiveFaults, FaultName
from cassiarail.standins.holdings import (
    AdapterLoader,
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

# Number of tokens that a poison request generates before its engine crashes.
_TOKENS_BEFORE_CRASH = 3
# Minimum share of the memory for KV caches, whatever models are loaded.
_KV_MEMORY_SHARE_MIN = 0.05


class EngineSettings(NamedTuple):
    """Hold the settings of one engine; times are in seconds.

    ``orphan_s`` is how long a generation continues without a reader, so that
    its stream can be resumed.
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


class EngineDependencies(NamedTuple):
    """Hold the objects that all engines of a deployment share."""

    clock: Clock
    generator: random.Random
    faults: ActiveFaults
    records: ExecutionRecords
    fetch_weights: WeightFetcher
    adapter_loader: AdapterLoader


class Engine:
    """Simulate the engine process at one target address."""

    def __init__(
        self,
        settings: EngineSettings,
        dependencies: EngineDependencies,
    ) -> None:
        self.settings = settings
        self.dependencies = dependencies
        # Set by the owner to break the connections of a crashed target.
        self.on_crash: Callable[[], None] = _ignore_crash
        self._task_group: TaskGroup | None = None
        self._incarnation = 0
        self.batch = Batch(
            dependencies.clock,
            settings.speed,
            self._get_kv_limit,
            self._handle_token,
        )
        self._reset()

    @property
    def in_progress(self) -> int:
        """Return the number of running and queued requests."""
        return len(self.batch.running) + self.batch.queued

    async def run(self) -> None:
        """Generate tokens and execute orders until cancelled."""
        async with anyio.create_task_group() as group:
            self._task_group = group
            group.start_soon(self._cancel_orphans)
            await self.batch.run()

    def crash(self) -> None:
        """Discard all state and break all connections immediately."""
        if self.is_down:
            return
        emit_event(TARGET_CRASHED, target=self.settings.name)
        self._terminate(CRASHED)
        self.on_crash()

    def restart(self) -> None:
        """Start a new, empty instance."""
        self._reset()
        emit_event(TARGET_RESTARTED, target=self.settings.name)

    def leave(self) -> None:
        """Refuse new requests; those in progress continue."""
        self.is_leaving = True
        self.dependencies.records.record_departure(
            self.settings.name,
            self.holdings.instance,
        )
        emit_event(TARGET_LEAVING, target=self.settings.name)

    def stop(self) -> None:
        """Complete a planned stop; interrupt requests still in progress."""
        emit_event(TARGET_STOPPED, target=self.settings.name)
        self._terminate(CUT_BY_STOP)

    def _reset(self) -> None:
        self._incarnation += 1
        dependencies = self.dependencies
        instance = f'{self.settings.name}#{self._incarnation}'
        self.is_down = False
        self.batch.role = ROLE_BOTH
        self.is_leaving = False
        self.streams: dict[str, Generation] = {}
        self.holdings = Holdings(
            self.settings.name,
            instance,
            self.settings.memory_bytes,
            dependencies.clock,
            dependencies.records,
            dependencies.fetch_weights,
            dependencies.adapter_loader,
            HoldingsHooks(
                self.batch.is_in_use, self._evict_prefixes, self._set_role
            ),
        )
        self.loads = LoadHistory(
            dependencies.clock, instance, self.settings.report_lag_s
        )
        self.prefixes = PrefixCache(
            dependencies.clock,
            dependencies.generator,
            self.settings.prefix_tokens,
            self.settings.cache_reporting,
        )

    def _terminate(self, outcome: str) -> None:
        self.is_down = True
        self.holdings.close()
        for generation in self.batch.clear(outcome):
            self.dependencies.records.record_run_end(
                generation.run_number, outcome
            )
        self.streams.clear()

    def _set_role(self, role: str) -> bool:
        if role not in ROLES:
            return False
        self.batch.role = role
        return True

    def _evict_prefixes(self, model: str) -> None:
        if self.holdings.find_version(model) is None:
            self.prefixes.evict_model(model)

    def _get_kv_limit(self) -> int:
        free_bytes = self.settings.memory_bytes - self.holdings.held_bytes
        return max(
            free_bytes, int(self.settings.memory_bytes * _KV_MEMORY_SHARE_MIN)
        )

    def _handle_token(self, generation: Generation) -> None:
        completion = generation.completion
        faults = self.dependencies.faults
        name = self.settings.name
        must_crash = (
            completion.is_poisoned
            and len(generation.tokens) >= _TOKENS_BEFORE_CRASH
            and faults.is_on(FaultName.POISON_REQUEST, name)
        )
        if must_crash:
            self.crash()
        elif generation.is_finished:
            self.dependencies.records.record_run_end(
                generation.run_number, COMPLETED
            )
            self.sample_load()

    def find_refusal(self, completion: CompletionRequest) -> str:
        """Return a refusal reason for a request, or an empty string."""
        if self.is_leaving:
            return 'leaving'
        if (
            self.holdings.find_version(completion.model, completion.adapter)
            is None
        ):
            return 'not_loaded'
        return 'overloaded' if self.batch.is_full() else ''

    def start_generation(self, completion: CompletionRequest) -> Generation:
        """Start the generation for a request."""
        run_number = self.dependencies.records.record_run_start(
            self.settings.name,
            self.holdings.instance,
            completion.request_id,
            completion.fingerprint,
            resume_after=completion.resume_after,
        )
        version = self.holdings.find_version(
            completion.model, completion.adapter
        )
        generation = Generation(completion, run_number, version or '')
        is_cached = self.prefixes.store(
            completion.model, completion.prefix, completion.prompt_tokens
        )
        prefill_tokens = (
            1
            if is_cached
            else completion.prompt_tokens + completion.resume_after
        )
        self.streams[completion.request_id] = generation
        self.batch.submit(generation, prefill_tokens)
        self.sample_load()
        return generation

    def cancel(self, request_id: str) -> bool:
        """Cancel a request; return whether it was known."""
        generation = self.streams.pop(request_id, None)
        if generation is None:
            return False
        if not generation.is_finished:
            generation.fail(CANCELLED)
            self.batch.discard(generation)
            self.dependencies.records.record_run_end(
                generation.run_number, CANCELLED
            )
            self.sample_load()
        return True

    async def _cancel_orphans(self) -> None:
        """Cancel generations without a reader for ``orphan_s`` seconds."""
        while True:
            await self.dependencies.clock.sleep(1)
            cutoff = (
                self.dependencies.clock.monotonic() - self.settings.orphan_s
            )
            for request_id, generation in tuple(self.streams.items()):
                is_orphaned = not generation.readers and (
                    generation.abandoned_at < cutoff
                )
                if is_orphaned and generation.abandoned_at:
                    self.cancel(request_id)

    def sample_load(self) -> None:
        """Sample the current load for later load reports."""
        self.loads.sample(
            LoadNumbers(
                len(self.batch.running),
                self.batch.queued,
                self.settings.speed.batch_max,
                self.batch.kv_used_bytes,
                self._get_kv_limit(),
            ),
        )

    def accept_order(self, order: Order) -> str:
        """Start an order; return a refusal reason or an empty string."""
        holdings = self.holdings
        if order.instance != holdings.instance:
            return 'other_instance'
        if self.settings.checks_fence and order.fence < holdings.fence:
            return 'stale_fence'
        if self._task_group is None:
            return 'starting'
        if order.order_id not in holdings.orders:
            holdings.register_order(order)
            self._task_group.start_soon(holdings.execute, order)
        return ''

    def describe_state(self) -> dict[str, Any]:
        """Return the state document of the engine."""
        holdings = self.holdings
        return {
            'instance': holdings.instance,
            'fence': holdings.fence,
            'role': holdings.role,
            'leaving': self.is_leaving,
            'memory_bytes': holdings.memory_bytes,
            'held': [entry.describe() for entry in holdings.held],
            'orders': [order._asdict() for order in holdings.orders.values()],
        }


def _ignore_crash() -> None:
    """Do nothing: the default crash handler of a target without an owner."""
