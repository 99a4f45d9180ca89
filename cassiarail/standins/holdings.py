"""Hold the models and adapters of an engine and execute orders on them."""

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
_IN_USE_POLL_S = 0.1


class OrderKind(enum.Enum):
    """Name the kinds of orders."""

    LOAD_MODEL = 'load_model'
    UNLOAD_MODEL = 'unload_model'
    LOAD_ADAPTER = 'load_adapter'
    UNLOAD_ADAPTER = 'unload_adapter'
    SET_ROLE = 'set_role'
    FENCE = 'fence'


class Order(NamedTuple):
    """Describe an order to an engine; ``bytes`` is the memory it takes."""

    order_id: str
    fence: int
    instance: str
    kind: OrderKind
    model: str = ''
    version: str = ''
    adapter: str = ''
    role: str = ''
    bytes: int = 0


class Held(NamedTuple):
    """Describe what an engine holds; adapters are named, models are not."""

    model: str
    version: str
    adapter: str
    bytes: int
    state: str

    def describe(self) -> dict[str, object]:
        """Return the entry as the engine's report shows it."""
        kind = 'adapter' if self.adapter else 'model'
        return {'kind': kind, **self._asdict()}


class OrderState(NamedTuple):
    """Hold the progress of an order."""

    order_id: str
    state: str
    error: str = ''


class HoldingsHooks(NamedTuple):
    """Connect the holdings with the rest of their engine.

    ``is_used`` tells whether a request in progress needs a model, version and
    adapter; ``on_unload`` is called with a model that is gone, ``on_role``
    with a role that is to be taken, and tells whether it is known.
    """

    is_used: Callable[[str, str, str], bool]
    on_unload: Callable[[str], None]
    on_role: Callable[[str], bool]


class WeightFetcher(Protocol):
    """Fetch the weights of a model."""

    async def __call__(self, model: str, version: str) -> None:
        """Return when the weights have arrived."""


def parse_order(document: Mapping[str, Any]) -> Order:
    """Read an order; raises ``KeyError``, ``TypeError`` or ``ValueError``."""
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
    """Fetch weights over HTTP; waits while the store refuses by its rate."""

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
            delay = _FETCH_RETRY_S * (1 + self._generator.random())
            await self._clock.sleep(delay)


class AdapterLoads:
    """Share the time of adapter loads over all engines of a deployment.

    A load takes ``base_s`` seconds while at most ``limit`` are in flight, and
    proportionally longer beyond.
    """

    def __init__(self, clock: Clock, limit: int, base_s: float = 0.02) -> None:
        self._clock = clock
        self._limit = limit
        self._base_s = base_s
        self.in_flight = 0
        self.in_flight_max = 0

    async def load(self) -> None:
        """Wait as long as one adapter load takes."""
        self.in_flight += 1
        self.in_flight_max = max(self.in_flight_max, self.in_flight)
        try:
            await self._clock.sleep(
                self._base_s * max(1, self.in_flight / self._limit),
            )
        finally:
            self.in_flight -= 1


class Holdings:
    """Hold the memory of one instance of an engine."""

    def __init__(
        self,
        target: str,
        instance: str,
        memory_bytes: int,
        clock: Clock,
        records: ExecutionRecords,
        fetch: WeightFetcher,
        adapter_loads: AdapterLoads,
        hooks: HoldingsHooks,
    ) -> None:
        self._target = target
        self._clock = clock
        self._records = records
        self._fetch = fetch
        self._adapter_loads = adapter_loads
        self._hooks = hooks
        self._scopes: set[anyio.CancelScope] = set()
        self._entries: dict[tuple[str, str, str], Held] = {}
        self.instance = instance
        self.memory_bytes = memory_bytes
        self.is_closed = False
        self.fence = 0
        self.role = ROLE_BOTH
        self.orders: dict[str, OrderState] = {}

    @property
    def held(self) -> list[Held]:
        """Return what is held, being loaded or being unloaded."""
        return list(self._entries.values())

    @property
    def held_bytes(self) -> int:
        """Return the memory that is taken."""
        return sum(entry.bytes for entry in self._entries.values())

    def find_version(self, model: str, adapter: str = '') -> str | None:
        """Return the newest version that is ready with its adapter."""
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
        """Stop all orders in progress, as the end of the process does."""
        self.is_closed = True
        for scope in self._scopes:
            scope.cancel()

    def place(self, held: Held) -> None:
        """Hold something without an order, as at the start of a scenario."""
        self._put(held)
        self._sample()

    def begin(self, order: Order) -> None:
        """Register an accepted order."""
        self.fence = max(self.fence, order.fence)
        self.orders[order.order_id] = OrderState(order.order_id, 'running')

    async def execute(self, order: Order) -> None:
        """Execute an accepted order and register its outcome."""
        with anyio.CancelScope() as scope:
            self._scopes.add(scope)
            try:
                await self._finish(order)
            finally:
                self._scopes.discard(scope)

    async def _finish(self, order: Order) -> None:
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
        base = self._entries.get((order.model, order.version, ''))
        if order.adapter and (base is None or base.state != 'ready'):
            return 'model_not_ready'
        if key in self._entries:
            return await self._keep(key)
        entry = Held(*key, order.bytes, 'loading')
        if not self._reserve(entry):
            return 'out_of_memory'
        if order.adapter:
            await self._adapter_loads.load()
        else:
            await self._fetch(order.model, order.version)
        if self._entries.get(key) is entry:
            self._put(entry._replace(state='ready'))
        return ''

    async def _keep(self, key: tuple[str, str, str]) -> str:
        """Answer a load of what is held: wait for it, or end its unload."""
        while self._entries[key].state == 'loading':
            await self._clock.sleep(_IN_USE_POLL_S)
            if key not in self._entries:
                return 'unloaded'
        self._put(self._entries[key]._replace(state='ready'))
        return ''

    def _reserve(self, entry: Held) -> bool:
        self._put(entry)
        self._sample()
        if self.held_bytes <= self.memory_bytes:
            return True
        emit_event(
            MEMORY_OVERCOMMITTED,
            target=self._target,
            held=self.held_bytes,
            memory=self.memory_bytes,
        )
        self._entries.pop(_key_of(entry))
        return False

    async def _unload(self, order: Order) -> str:
        keys = [
            key
            for key in self._entries
            if key[:2] == (order.model, order.version)
            and (not order.adapter or key[-1] == order.adapter)
        ]
        for key in keys:
            self._put(self._entries[key]._replace(state='unloading'))
        while self._hooks.is_used(order.model, order.version, order.adapter):
            await self._clock.sleep(_IN_USE_POLL_S)
        await self._clock.sleep(_UNLOAD_S)
        for key in keys:
            entry = self._entries.get(key)
            if entry is not None and entry.state == 'unloading':
                self._entries.pop(key)
        if not order.adapter:
            self._hooks.on_unload(order.model)
        self._sample()
        return ''

    def _is_ready(self, model: str, version: str, adapter: str) -> bool:
        entry = self._entries.get((model, version, adapter))
        return entry is not None and entry.state == 'ready'

    def _put(self, entry: Held) -> None:
        self._entries[_key_of(entry)] = entry

    def _sample(self) -> None:
        self._records.record_memory(
            self._target,
            self.instance,
            self.held_bytes,
            self.memory_bytes,
        )


def _key_of(entry: Held) -> tuple[str, str, str]:
    return (entry.model, entry.version, entry.adapter)
