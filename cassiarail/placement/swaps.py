"""Choose which models to evict for another, and build the orders."""

from collections.abc import Iterable

from cassiarail.placement.fleet import (
    EngineState,
    ModelFacts,
    Step,
    find_load_time,
)
from cassiarail.placement.impact import ImpactModel


def choose_victims(
    model: ModelFacts,
    engine: EngineState,
    candidates: Iterable[str],
    impact: ImpactModel,
) -> tuple[tuple[str, ...] | None, float]:
    """Return the models to evict for a model, and the cost of that.

    The victims are ``None`` if evicting all candidates frees too little.
    """
    missing_bytes = model.weights_bytes - impact.free_bytes(engine)
    return find_victims(missing_bytes, engine, candidates, impact)


def find_victims(
    missing_bytes: int,
    engine: EngineState,
    candidates: Iterable[str],
    impact: ImpactModel,
) -> tuple[tuple[str, ...] | None, float]:
    """Return the cheapest models whose eviction frees the missing bytes."""
    victims: list[str] = []
    eviction_cost = float(0)
    by_cost = sorted((impact.eviction_cost(name), name) for name in candidates)
    for each_cost, name in by_cost:
        if missing_bytes <= 0:
            break
        victims.append(name)
        eviction_cost += each_cost
        missing_bytes -= impact.memory.held_bytes(engine, name)
    if missing_bytes > 0:
        return None, 0
    return tuple(victims), eviction_cost


def make_load(model: ModelFacts, engine: EngineState) -> Step:
    """Return the order that loads a model."""
    expected_s = find_load_time(model, engine)
    return Step(
        engine.name,
        is_load=True,
        model=model.name,
        is_store_load=expected_s >= model.store_load_s,
        expected_s=expected_s,
    )


def make_unload(engine: EngineState, victim: str, model: ModelFacts) -> Step:
    """Return the order that unloads a victim for a model."""
    return Step(
        engine.name,
        is_load=False,
        model=victim,
        intended=model.name,
    )
