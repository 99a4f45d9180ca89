"""Preload weights, so that a later swap doesn't need the weight store.

Demand may move to models that no engine has in memory or on disk: a load from
the weight store takes seconds, one from an engine's own disk less than one.
Models are evicted for a preload only before there is traffic; later, only free
memory of engines that serve no adapters is used.
"""

from collections.abc import Iterator
from typing import NamedTuple

from cassiarail.placement.fleet import (
    EngineState,
    Fleet,
    ModelFacts,
    Step,
    find_load_time,
    list_models,
)
from cassiarail.placement.impact import ImpactModel
from cassiarail.placement.swaps import (
    choose_victims,
    make_load,
    make_unload,
)

# Store loads reserved for models that requests wait for.
_RESERVED_LOADS = 3
# Reloading an evicted model takes two orders and this much longer than a load
# from disk.
_RELOAD_OVERHEAD_S = 0.5
# Adapter requests per second that a load may delay.
_MAX_DELAYED_ADAPTERS_PER_S = 0.2


class _LoadOption(NamedTuple):
    """Describe one option to preload a model."""

    eviction_cost: float
    load_s: float
    engine: EngineState
    victims: tuple[str, ...]


def plan_preloads(
    fleet: Fleet,
    impact: ImpactModel,
    used_engines: set[str],
    store_loads: int,
) -> Iterator[Step]:
    """Yield preload orders for engines without other orders."""
    planner = _PreloadPlanner(fleet, impact, used_engines)
    if not fleet.demand and not planner.can_reload_in_time:
        yield from planner.restore()
    if not fleet.demand:
        yield from planner.preload(store_loads, may_evict=True)
        yield from planner.restore()
    elif not any(each.waiting for each in fleet.demand.values()):
        yield from planner.preload(
            store_loads - _RESERVED_LOADS,
            may_evict=False,
        )
        yield from planner.load_missing()


class _PreloadPlanner:
    """Plan loads ahead of demand; add the engines to ``used_engines``."""

    def __init__(
        self,
        fleet: Fleet,
        impact: ImpactModel,
        used_engines: set[str],
    ) -> None:
        self._fleet = fleet
        self._impact = impact
        self._used_engines = used_engines

    @property
    def can_reload_in_time(self) -> bool:
        """Return whether an evicted model can be back before traffic."""
        return any(map(self._can_reload, self._fleet.models.values()))

    def preload(self, store_loads: int, *, may_evict: bool) -> Iterator[Step]:
        """Load from the store the weights that no engine has locally."""
        available: set[str] = set()
        for engine in self._fleet.engines:
            available |= list_models(engine)
            available |= engine.in_memory | engine.on_disk
        for model in self._fleet.models.values():
            if store_loads <= 0:
                return
            if model.name in available:
                continue
            step = self._plan_load(model, may_evict=may_evict)
            if step is not None:
                store_loads -= 1
                yield step

    def restore(self) -> Iterator[Step]:
        """Reload the models that the engines held when first seen."""
        initial_copies = self._fleet.initial_copies
        by_copies = sorted(
            (-copies, name) for name, copies in initial_copies.items()
        )
        for _copies, name in by_copies:
            model = self._fleet.models.get(name)
            if model and self._impact.copies[name] < initial_copies[name]:
                step = self._plan_load(model, may_evict=True, local_only=True)
                if step is not None:
                    yield step

    def load_missing(self) -> Iterator[Step]:
        """Load models that no engine holds into free memory."""
        for model in self._fleet.models.values():
            if self._impact.is_missing(model.name):
                step = self._plan_load(model, may_evict=False, local_only=True)
                if step is not None:
                    yield step

    def _plan_load(
        self,
        model: ModelFacts,
        *,
        may_evict: bool,
        local_only: bool = False,
    ) -> Step | None:
        may_evict = may_evict and (local_only or self._fleet.lead_s > 0)
        options = [
            option
            for engine in self._fleet.engines
            if self._is_available(engine) and model.name not in engine.held
            for option in self._list_options(model, engine, may_evict=may_evict)
            if not local_only or option.load_s < model.store_load_s
        ]
        if not options:
            return None
        best = min(
            options, key=lambda option: (option.eviction_cost, option.load_s)
        )
        self._used_engines.add(best.engine.name)
        self._impact.copies[model.name] += 1
        self._impact.copies.subtract(best.victims)
        if best.victims:
            return make_unload(best.engine, best.victims[0], model)
        return make_load(model, best.engine)

    def _can_reload(self, model: ModelFacts) -> bool:
        """Return whether an evicted model can be back before traffic."""
        reload_s = model.disk_load_s + _RELOAD_OVERHEAD_S
        return model.store_load_s + reload_s < self._fleet.lead_s

    def _is_available(self, engine: EngineState) -> bool:
        if (
            engine.is_busy
            or engine.intended
            or engine.name in self._used_engines
        ):
            return False
        return self._impact.adapter_rate(engine) <= _MAX_DELAYED_ADAPTERS_PER_S

    def _list_options(
        self,
        model: ModelFacts,
        engine: EngineState,
        *,
        may_evict: bool,
    ) -> Iterator[_LoadOption]:
        candidates = [
            name
            for name in engine.held
            if may_evict and not self._must_stay(name, model.name)
        ]
        victims, eviction_cost = choose_victims(
            model, engine, candidates, self._impact
        )
        if victims is not None:
            yield _LoadOption(
                eviction_cost, find_load_time(model, engine), engine, victims
            )

    def _must_stay(self, name: str, other: str) -> bool:
        """Return whether a model must not be evicted for the other."""
        initial_copies = self._fleet.initial_copies
        if self._impact.is_missing(other) and other not in initial_copies:
            facts = self._fleet.models[other]
            return name in initial_copies and not self._can_reload(facts)
        if self._impact.copies[name] > initial_copies.get(name, 0):
            return False
        return initial_copies.get(name, 0) >= initial_copies.get(other, 0)
