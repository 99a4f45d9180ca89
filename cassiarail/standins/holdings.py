"""Manage the models and adapters of an engine and execute its orders."""

import enum
import random
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple, Protocol

import anyio
import httpx

from cassiarail.core.clock import Clock
from cassiarail.core.events import emit_event
from cassiarail.standins.batch import ROLE_BOTH
from cassiarail.standins.events import MEMORY_OVERCOMMITTED
from cassiarail.standins.records import ExecutionRecords

_UNLOAD_S = 0.1
_FETCH_RETRY_S = 0.5
_FETCH_TIMEOUT_S = 600
_STATE_POLL_S = 0.1


class OrderKind(enum.Enum):
    """Enumerate the kinds of orders."""

    LOAD_MODEL = 'load_model'
    UNLOAD_MODEL = 'unload_model'
    LOAD_ADAPTER = 'load_adapter'
    UNLOAD_ADAPTER = 'unload_adapter'
    SET_ROLE = 'set_role'
    FENCE = 'fence'


class Order(NamedTuple):
    """Hold an order to an engine; ``bytes`` is the memory that it needs."""

    order_id: str
    fence: int
    instance: str
    kind: OrderKind
    model: str = ''
    version: str = ''
    adapter: str = ''
    role: str = ''
    bytes: int = 0


class HeldEntry(NamedTuple):
    """Describe a model or adapter in memory; models have no ``adapter``."""

    model: str
    version: str
    adapter: str
    bytes: int
    state: str

    def describe(self) -> dict[str, object]:
        """Return the entry as a document of the engine state."""
        kind = 'adapter' if self.adapter else 'model'
        return {'kind': kind, **self._asdict()}


class OrderState(NamedTuple):
    """Hold the progress of an order."""

    order_id: str
    state: str
    error: str = ''


class HoldingsHooks(NamedTuple):
    """Hold the callbacks from the holdings to their engine.

    ``is_used`` returns whether a request in progress uses a model, version and
    adapter; ``on_unload`` is called with an unloaded model; ``on_role`` is
    called with a role to apply and returns whether the role is known.
    """

    is_used: Callable[[str, str, str], bool]
    on_unload: Callable[[str], None]
    on_role: Callable[[str], bool]


class WeightFetcher(Protocol):
    """Fetch model weights."""

    async def __call__(self, model: str, version: str) -> None:
        """Fetch the weights of a model version."""


def parse_order(document: Mapping[str, Any]) -> Order:
    """Parse an order; raise ``KeyError``, ``TypeError`` or ``ValueError``."""
    return Order(
        order_id=str(document['order_id']),
        fence=int(document['fence']),
        instance=str(document['instance']),
        kind=OrderKind(document['kind']),
        model=str(document.get('model') or ''),
        version=str(document.get('version') or ''),
        adapter=str(document.get('adapter') or ''),
        role=str(document.get('role') or ''),
        bytes=int(document.get('bytes') or 0),
    )


class WeightClient:
    """Fetch weights over HTTP; retry if rate limited or after an error."""

    def __init__(
        self,
        client: httpx.AsyncClient,
        base_url: str,
        clock: Clock,
        generator: random.Random,
    ) -> None:
        self._client = client
        self._base_url = base_url
        self._clock = clock
        self._generator = generator

    async def __call__(self, model: str, version: str) -> None:
        """Fetch the weights of a model version."""
        url = f'{self._base_url}/weights/{model}/{version}'
        while True:
            try:
                response = await self._client.get(url, timeout=_FETCH_TIMEOUT_S)
            except httpx.TransportError:
                response = None
            if response is not None and response.is_success:
                return
            delay_s = _FETCH_RETRY_S * (1 + self._generator.random())
            await self._clock.sleep(delay_s)


class AdapterLoader:
    """Simulate adapter loads, which contend across all engines.

    A load takes ``base_s`` seconds while at most ``limit`` are in flight, and
    proportionally longer above that.
    """

    def __init__(self, clock: Clock, limit: int, base_s: float = 0.02) -> None:
        self._clock = clock
        self._limit = limit
        self._base_s = base_s
        self.in_flight = 0
        self.in_flight_max = 0

    async def load(self) -> None:
        """Wait for the duration of one adapter load."""
        self.in_flight += 1
        self.in_flight_max = max(self.in_flight_max, self.in_flight)
        try:
            await self._clock.sleep(
                self._base_s * max(1, self.in_flight / self._limit),
            )
        finally:
            self.in_flight -= 1


class Holdings:
    """Hold the memory and orders of one engine instance."""

    def __init__(
        self,
        target: str,
        instance: str,
        memory_bytes: int,
        clock: Clock,
        records: ExecutionRecords,
        fetch_weights: WeightFetcher,
        adapter_loader: AdapterLoader,
        hooks: HoldingsHooks,
    ) -> None:
        self._target = target
        self._clock = clock
        self._records = records
        self._fetch_weights = fetch_weights
        self._adapter_loader = adapter_loader
        self._hooks = hooks
        self._order_scopes: set[anyio.CancelScope] = set()
        self._entries: dict[tuple[str, str, str], HeldEntry] = {}
        self.instance = instance
        self.memory_bytes = memory_bytes
        self.is_closed = False
        self.fence = 0
        self.role = ROLE_BOTH
        self.orders: dict[str, OrderState] = {}

    @property
    def held(self) -> list[HeldEntry]:
        """Return all entries, including those being loaded or unloaded."""
        return list(self._entries.values())

    @property
    def held_bytes(self) -> int:
        """Return the memory in use, in bytes."""
        return sum(entry.bytes for entry in self._entries.values())

    def find_version(self, model: str, adapter: str = '') -> str | None:
        """Return the newest version that is ready together with its adapter."""
        versions = [
            entry.version
            for entry in self._entries.values()
            if entry.model == model
            and not entry.adapter
            and self._is_ready(model, entry.version, '')
            and self._is_ready(model, entry.version, adapter)
        ]
        return versions[-1] if versions else None

    def close(self) -> None:
        """Cancel all orders in progress, as when the process ends."""
        self.is_closed = True
        for scope in self._order_scopes:
            scope.cancel()

    def preload(self, held: HeldEntry) -> None:
        """Add an entry without an order, as at the start of a scenario."""
        self._set_entry(held)
        self._record_memory()

    def register_order(self, order: Order) -> None:
        """Register an accepted order."""
        self.fence = max(self.fence, order.fence)
        self.orders[order.order_id] = OrderState(order.order_id, 'running')

    async def execute(self, order: Order) -> None:
        """Execute an accepted order and record its outcome."""
        with anyio.CancelScope() as scope:
            self._order_scopes.add(scope)
            try:
                await self._execute_and_record(order)
            finally:
                self._order_scopes.discard(scope)

    async def _execute_and_record(self, order: Order) -> None:
        error = await self._dispatch(order)
        state = 'failed' if error else 'done'
        self.orders[order.order_id] = OrderState(order.order_id, state, error)
        if not error:
            self._records.record_applied_order(
                self._target,
                self.instance,
                order.order_id,
                order.kind.value,
                order.fence,
            )

    async def _dispatch(self, order: Order) -> str:
        if order.kind is OrderKind.LOAD_MODEL:
            return await self._load(order)
        if order.kind is OrderKind.LOAD_ADAPTER:
            return await self._load(order)
        if order.kind in {OrderKind.UNLOAD_MODEL, OrderKind.UNLOAD_ADAPTER}:
            return await self._unload(order)
        if order.kind is OrderKind.SET_ROLE:
            if not self._hooks.on_role(order.role):
                return 'unknown_role'
            self.role = order.role
        return ''

    async def _load(self, order: Order) -> str:
        key = (order.model, order.version, order.adapter)
        base_model = self._entries.get((order.model, order.version, ''))
        if order.adapter and (
            base_model is None or base_model.state != 'ready'
        ):
            return 'model_not_ready'
        if key in self._entries:
            return await self._reuse(key)
        entry = HeldEntry(*key, order.bytes, 'loading')
        if not self._reserve(entry):
            return 'out_of_memory'
        if order.adapter:
            await self._adapter_loader.load()
        else:
            await self._fetch_weights(order.model, order.version)
        if self._entries.get(key) is entry:
            self._set_entry(entry._replace(state='ready'))
        return ''

    async def _reuse(self, key: tuple[str, str, str]) -> str:
        """Handle a load of an existing entry: await it or cancel its unload."""
        while self._entries[key].state == 'loading':
            await self._clock.sleep(_STATE_POLL_S)
            if key not in self._entries:
                return 'unloaded'
        self._set_entry(self._entries[key]._replace(state='ready'))
        return ''

    def _reserve(self, entry: HeldEntry) -> bool:
        self._set_entry(entry)
        self._record_memory()
        if self.held_bytes <= self.memory_bytes:
            return True
        emit_event(
            MEMORY_OVERCOMMITTED,
            target=self._target,
            held=self.held_bytes,
            memory=self.memory_bytes,
        )
        self._entries.pop(_make_key(entry))
        return False

    async def _unload(self, order: Order) -> str:
        keys = [
            key
            for key in self._entries
            if key[:2] == (order.model, order.version)
            and (not order.adapter or key[-1] == order.adapter)
        ]
        for key in keys:
            self._set_entry(self._entries[key]._replace(state='unloading'))
        while self._hooks.is_used(order.model, order.version, order.adapter):
            await self._clock.sleep(_STATE_POLL_S)
        await self._clock.sleep(_UNLOAD_S)
        for key in keys:
            entry = self._entries.get(key)
            if entry is not None and entry.state == 'unloading':
                self._entries.pop(key)
        if not order.adapter:
            self._hooks.on_unload(order.model)
        self._record_memory()
        return ''

    def _is_ready(self, model: str, version: str, adapter: str) -> bool:
        entry = self._entries.get((model, version, adapter))
        return entry is not None and entry.state == 'ready'

    def _set_entry(self, entry: HeldEntry) -> None:
        self._entries[_make_key(entry)] = entry

    def _record_memory(self) -> None:
        self._records.record_memory(
            self._target,
            self.instance,
            self.held_bytes,
            self.memory_bytes,
        )


def _make_key(entry: HeldEntry) -> tuple[str, str, str]:
    return (entry.model, entry.version, entry.adapter)
