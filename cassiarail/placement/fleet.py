"""Describe engines, models and demand to the plan of swaps."""

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

    ``asked_per_s`` is the recent rate, ``idle_s`` the time since the last
    request, ``in_flight`` counts requests that engines run, ``waiting`` those
    that wait for the model or were refused for lack of it.
    ``adapter_per_s`` is the rate of requests that need an adapter.
    ``objective_s`` is the shortest time within which recent requests wanted
    their answer to begin.
    """

    asked_per_s: float = 0
    in_flight: int = 0
    waiting: int = 0
    idle_s: float = 0
    adapter_per_s: float = 0
    objective_s: float = 0


class EngineState(NamedTuple):
    """Describe an engine that can be given an order.

    ``held`` maps models to their adapters. ``intended`` is the model for
    which others were unloaded. A busy engine takes the next order in about
    ``free_in_s`` seconds. ``loaded_s`` tells how long ago a
    model was loaded, ``adapter_idle_s`` when an adapter was last asked for.
    """

    name: str
    capacity_bytes: int
    adapter_places: int
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


class Step(NamedTuple):
    """Give one order to an engine.

    ``is_store_load`` tells that the weights come from the weight store.
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
    """Hold all that a plan considers.

    ``store_loads`` is how many loads from the weight store may begin now.
    ``known_s`` is how long demand has been known: a model that nobody asked
    for has been idle for no longer than that. ``popular`` counts the copies
    that the engines held of each model before there was any demand.
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
    """Return the seconds that a load takes, by where the weights are."""
    if model.name in engine.in_memory:
        return model.memory_load_s
    if model.name in engine.on_disk:
        return model.disk_load_s
    return model.store_load_s


def list_models(engine: EngineState) -> set[str]:
    """Return the models that an engine holds or will hold."""
    return {*engine.held, engine.loading, engine.intended} - {''}


def count_adapters(engine: EngineState) -> int:
    """Return the places for adapters that are taken."""
    return sum(len(adapters) for adapters in engine.held.values())
