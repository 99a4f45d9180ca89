"""Define the engines, models and demand that swap planning reads."""

from collections.abc import Mapping
from typing import NamedTuple


class ModelFacts(NamedTuple):
    """Describe a model; sizes are bytes and times are seconds."""

    name: str
    weights_bytes: int
    adapter_count: int
    adapter_bytes: int
    store_load_s: float
    disk_load_s: float
    memory_load_s: float


class ModelDemand(NamedTuple):
    """Describe the demand for a model over all hosts.

    ``requests_per_s`` is the recent rate, ``idle_s`` the time since the last
    request, ``in_flight`` counts requests that engines run, ``waiting`` those
    that wait for the model or were refused because it was not loaded.
    ``adapter_per_s`` is the rate of requests that need an adapter.
    ``objective_s`` is the shortest time to the first token that recent
    requests required.
    """

    requests_per_s: float = 0
    in_flight: int = 0
    waiting: int = 0
    idle_s: float = 0
    adapter_per_s: float = 0
    objective_s: float = 0


class HeldSize(NamedTuple):
    """Hold the bytes of a model's weights and of each of its adapters."""

    weights_bytes: int
    adapter_bytes: int

    def combine(self, other: 'HeldSize | None') -> 'HeldSize':
        """Return the larger of each size."""
        if other is None:
            return self
        return HeldSize(
            max(self.weights_bytes, other.weights_bytes),
            max(self.adapter_bytes, other.adapter_bytes),
        )

    def total(self, adapter_count: int) -> int:
        """Return the bytes of the weights and some adapters."""
        return self.weights_bytes + adapter_count * self.adapter_bytes


class EngineState(NamedTuple):
    """Describe an engine that accepts orders.

    ``held`` maps models to their adapters. ``intended`` is the model for
    which others were unloaded. A busy engine accepts the next order in about
    ``free_in_s`` seconds. ``loaded_s`` is the time since a model was loaded,
    ``adapter_idle_s`` the time since an adapter was last requested. ``sizes``
    holds the largest configured sizes of models while the engine held them.
    """

    name: str
    capacity_bytes: int
    adapter_slots: int
    slots: int
    held: Mapping[str, frozenset[str]]
    loading: str = ''
    intended: str = ''
    is_busy: bool = False
    free_in_s: float = 0
    in_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()
    loaded_s: Mapping[str, float] = {}
    adapter_idle_s: Mapping[tuple[str, str], float] = {}
    sizes: Mapping[str, HeldSize] = {}


class Step(NamedTuple):
    """Describe one order to an engine.

    ``is_store_load`` is true if the weights come from the weight store.
    ``intended`` is the model for which another is unloaded.
    """

    engine: str
    is_load: bool
    model: str
    adapter: str = ''
    is_store_load: bool = False
    expected_s: float = 0
    intended: str = ''


class Fleet(NamedTuple):
    """Hold the input of a swap plan.

    ``store_loads`` is how many loads from the weight store may begin now.
    ``demand_known_s`` is how long demand has been known; it caps the idle
    time of a model without requests. ``initial_copies`` counts the copies of
    each model that the engines held before there was any demand.
    ``lead_s`` is the time until the first traffic of a deployment.
    """

    engines: tuple[EngineState, ...]
    models: Mapping[str, ModelFacts]
    demand: Mapping[str, ModelDemand]
    adapter_waiting: Mapping[tuple[str, str], int]
    store_loads: int
    demand_known_s: float = 0
    initial_copies: Mapping[str, int] = {}
    lead_s: float = 0


def find_load_time(model: ModelFacts, engine: EngineState) -> float:
    """Return the load time in seconds, given where the weights are."""
    if model.name in engine.in_memory:
        return model.memory_load_s
    if model.name in engine.on_disk:
        return model.disk_load_s
    return model.store_load_s


def list_models(engine: EngineState) -> set[str]:
    """Return the models that an engine holds or will hold."""
    return {*engine.held, engine.loading, engine.intended} - {''}


def count_adapters(engine: EngineState) -> int:
    """Return the number of adapter slots in use."""
    return sum(len(adapters) for adapters in engine.held.values())
