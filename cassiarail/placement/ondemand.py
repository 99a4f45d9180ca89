"""Swap models on engines as requests for them arrive.

There are more models than the engines can hold, and their demand is uneven:
models whose requests can't wait for a swap stay resident, and those whose
requests can wait share the remaining memory. Busy models get more copies.
"""

import collections
from collections.abc import Iterator
from typing import NamedTuple

from cassiarail.placement.adapters import AdapterPlanner
from cassiarail.placement.fleet import (
    EngineState,
    Fleet,
    ModelFacts,
    Step,
    find_load_time,
    list_models,
)
from cassiarail.placement.impact import ImpactModel
from cassiarail.placement.preloading import plan_preloads
from cassiarail.placement.swaps import (
    choose_victims,
    make_load,
    make_unload,
)

# A copy that requests use is not evicted for this long after its load, so that
# two models don't evict each other in turn.
MIN_RESIDENCE_S = 4.0
# An idle copy that has served its requests may be evicted after this time.
_MIN_IDLE_RESIDENCE_S = 0.5
# At most this share of the engines swaps models whose requests can wait, so
# that others are free when demand moves to a model whose requests can't.
_DEFERRABLE_SHARE = 0.34
# Engines with memory for this many of the largest models keep one place for
# models whose requests can wait. Otherwise copies of busy models fill all of
# them, and a rare model, whose weights few engines have, waits for seconds.
_PLACES_WITH_TURNS = 3
# Local disks are preferred where a store load takes this many times as long.
_SLOW_STORE_RATIO = 2.0
# Cost of keeping an engine busy, in requests per second.
_BUSY_COST = 1.0
# An unload waits for the running requests of its model for about this long.
_DRAIN_S = 1.5
# Assumed share of adapter requests whose adapter is not loaded.
_ADAPTER_MISS_SHARE = 0.5


class _Swap(NamedTuple):
    """Describe one option to load a model into an engine."""

    cost: float
    engine: EngineState
    victims: tuple[str, ...]
    is_store_load: bool


def plan_steps(fleet: Fleet) -> list[Step]:
    """Return at most one order for each engine."""
    impact = ImpactModel(fleet)
    steps = list(AdapterPlanner(fleet, impact).plan())
    used_engines = {step.engine for step in steps}
    planner = _ModelPlanner(fleet, impact, used_engines)
    steps.extend(planner.plan())
    steps.extend(
        plan_preloads(fleet, impact, used_engines, planner.store_loads),
    )
    engines = {engine.name: engine for engine in fleet.engines}
    return [
        step
        for step in steps
        if impact.memory.allows(engines[step.engine], step)
    ]


class _ModelPlanner:
    """Plan swaps for one snapshot; add the engines to ``used_engines``."""

    def __init__(
        self,
        fleet: Fleet,
        impact: ImpactModel,
        used_engines: set[str],
    ) -> None:
        self.impact = impact
        self.store_loads = fleet.store_loads
        self._fleet = fleet
        self._used_engines = used_engines
        self._local_copies = collections.Counter(
            name
            for engine in fleet.engines
            for name in engine.in_memory | engine.on_disk
        )
        self._largest_bytes = max(
            (each.weights_bytes for each in fleet.models.values()), default=1
        )
        self._has_deferrable_demand = any(
            demand.requests_per_s and self._is_deferrable(name)
            for name, demand in fleet.demand.items()
        )
        self._deferrable_swaps = sum(
            self._is_deferrable(engine.loading or engine.intended)
            for engine in fleet.engines
        )

    def plan(self) -> Iterator[Step]:
        """Yield orders: pending swaps, missing models, then more copies."""
        for engine in self._fleet.engines:
            if engine.intended and self._is_available(engine):
                self._used_engines.add(engine.name)
                yield from self._finish_swap(engine)
        for model in self._list_by_gain():
            if self._lacks_copies(model.name):
                yield from self._place_model(model)

    def _is_available(self, engine: EngineState) -> bool:
        return engine.name not in self._used_engines and not engine.is_busy

    def _finish_swap(self, engine: EngineState) -> Iterator[Step]:
        model = self._fleet.models.get(engine.intended)
        if model is None or engine.intended in engine.held:
            return
        victims, _cost = self._choose_victims(model, engine)
        if victims is None:
            return
        step = self._make_step(model, engine, victims)
        if step.is_store_load and self.store_loads <= 0:
            return
        self.store_loads -= step.is_store_load
        yield step

    def _list_by_gain(self) -> list[ModelFacts]:
        known = self._fleet.models
        requested = [
            known[name]
            for name, demand in self._fleet.demand.items()
            if name in known and (demand.waiting or demand.requests_per_s)
        ]
        utilisation = self.impact.lowest_utilisation()
        return sorted(
            requested, key=lambda model: -self.impact.gain(model, utilisation)
        )

    def _lacks_copies(self, name: str) -> bool:
        required = self.impact.required_copies(name)
        return self.impact.copies[name] < min(
            required, len(self._fleet.engines)
        )

    def _place_model(self, model: ModelFacts) -> Iterator[Step]:
        swaps = self._list_swaps(model)
        if not swaps or self._must_defer(model):
            return
        best = min(swaps, key=lambda swap: swap.cost)
        self._used_engines.add(best.engine.name)
        self._deferrable_swaps += self._is_deferrable(model.name)
        if best.engine.is_busy:
            # Waiting for that engine is faster than loading elsewhere.
            return
        self.impact.copies[model.name] += 1
        if best.is_store_load:
            self.store_loads -= 1
        self.impact.copies.subtract(best.victims)
        yield self._make_step(model, best.engine, best.victims)

    def _list_swaps(self, model: ModelFacts) -> list[_Swap]:
        swaps = []
        for engine in self._fleet.engines:
            if engine.name in self._used_engines or model.name in list_models(
                engine
            ):
                continue
            swap = self._find_swap(model, engine)
            if swap and not (
                swap.is_store_load and self._must_avoid_store(model)
            ):
                swaps.append(swap)
        return swaps

    def _must_avoid_store(self, model: ModelFacts) -> bool:
        """Return whether a model must not be loaded from the weight store.

        Models that are swapped in turn stay on the disks that have them;
        otherwise they would displace all other weights from all disks.
        """
        if self.store_loads <= 0:
            return True
        if model.store_load_s < _SLOW_STORE_RATIO * model.disk_load_s:
            return False
        return (
            self._is_deferrable(model.name)
            and self._local_copies[model.name] > 0
        )

    def _must_defer(self, model: ModelFacts) -> bool:
        limit = max(1, int(_DEFERRABLE_SHARE * len(self._fleet.engines)))
        is_full = self._deferrable_swaps >= limit
        return is_full and self._is_deferrable(model.name)

    def _is_deferrable(self, name: str) -> bool:
        facts = self._fleet.models.get(name)
        return facts is not None and not self.impact.must_stay_resident(facts)

    def _make_step(
        self,
        model: ModelFacts,
        engine: EngineState,
        victims: tuple[str, ...],
    ) -> Step:
        if victims:
            return make_unload(engine, victims[0], model)
        return make_load(model, engine)

    def _find_swap(
        self,
        model: ModelFacts,
        engine: EngineState,
    ) -> _Swap | None:
        victims, eviction_cost = self._choose_victims(model, engine)
        gain = self.impact.gain(model, self.impact.utilisation(engine))
        if victims is None or gain <= 0 or eviction_cost > gain:
            return None
        if self._takes_turn_place(model, engine, victims):
            return None
        expected_s = find_load_time(model, engine)
        demand = self.impact.demand(model.name)
        delay_s = engine.free_in_s + expected_s
        if any(self.impact.demand(name).in_flight for name in victims):
            delay_s += _DRAIN_S
        return _Swap(
            eviction_cost
            + self.impact.congestion_cost(model.name, engine)
            + delay_s * (1 + demand.waiting + demand.requests_per_s)
            + expected_s
            * self.impact.adapter_rate(engine)
            * _ADAPTER_MISS_SHARE
            + expected_s * _BUSY_COST,
            engine,
            victims,
            expected_s >= model.store_load_s,
        )

    def _takes_turn_place(
        self, model: ModelFacts, engine: EngineState, victims: tuple[str, ...]
    ) -> bool:
        """Return whether a further copy takes the place of swapped models."""
        if self.impact.is_missing(model.name) or not self._is_busy(model.name):
            return False
        places = engine.capacity_bytes // self._largest_bytes
        if places < _PLACES_WITH_TURNS or not self._has_deferrable_demand:
            return False
        remaining = list_models(engine) - set(victims)
        if not all(map(self._is_busy, remaining)):
            return False
        room = self.impact.free_bytes(engine) - model.weights_bytes
        room += sum(
            self.impact.memory.held_bytes(engine, name) for name in victims
        )
        return room < self._largest_bytes

    def _is_busy(self, name: str) -> bool:
        """Return whether requests need a model that must stay resident."""
        facts = self._fleet.models.get(name)
        return (
            facts is not None
            and self.impact.must_stay_resident(facts)
            and self.impact.demand(name).requests_per_s > 0
        )

    def _choose_victims(
        self,
        model: ModelFacts,
        engine: EngineState,
    ) -> tuple[tuple[str, ...] | None, float]:
        candidates = [
            name for name in engine.held if self._may_evict(name, engine)
        ]
        return choose_victims(model, engine, candidates, self.impact)

    def _may_evict(self, name: str, engine: EngineState) -> bool:
        demand = self.impact.demand(name)
        is_used = demand.waiting or demand.in_flight
        min_residence_s = MIN_RESIDENCE_S if is_used else _MIN_IDLE_RESIDENCE_S
        return engine.loaded_s.get(name, MIN_RESIDENCE_S) >= min_residence_s
