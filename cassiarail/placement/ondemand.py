"""Swap models between engines as they are asked for.

Answers many models with uneven demand on engines that hold a few: models
whose requests can't wait for a swap stay resident, and those whose requests
can wait share the places that are left. Busy models get more copies.
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
from cassiarail.placement.harm import HarmModel
from cassiarail.placement.seeding import plan_seeding
from cassiarail.placement.swaps import (
    choose_victims,
    make_load,
    make_unload,
)

# A copy that has just been loaded stays for this long if requests use it, so
# that two models don't evict each other by turns.
MIN_STAY_S = 4.0
# A copy that served its requests and is idle may leave after this.
_MIN_IDLE_STAY_S = 0.5
# At most this share of the engines swaps models whose requests can wait, so
# that others are free when demand moves to a model that can't.
_PATIENT_SHARE = 0.34
# Disks matter where the weight store takes this many times as long.
_SLOW_STORE = 2.0
# What an engine that is busy keeps from others, in requests a second.
_BUSY_HARM = 1.0
# An unload waits for the runs of its model for about this long.
_DRAIN_S = 1.5
# Share of the requests for adapters that find theirs missing, as a guess.
_ADAPTER_MISSES = 0.5


class _Swap(NamedTuple):
    """Hold a way to bring a model to an engine."""

    cost: float
    engine: EngineState
    victims: tuple[str, ...]
    is_store_load: bool


def plan_steps(fleet: Fleet) -> list[Step]:
    """Return at most one order for each engine."""
    steps = list(AdapterPlanner(fleet).plan())
    taken = {step.engine for step in steps}
    planner = _ModelPlanner(fleet, taken)
    steps.extend(planner.plan())
    steps.extend(
        plan_seeding(fleet, planner.harm, taken, planner.store_loads),
    )
    return steps


class _ModelPlanner:
    """Plan the models of one moment; add the engines used to ``taken``."""

    def __init__(self, fleet: Fleet, taken: set[str]) -> None:
        self.harm = HarmModel(fleet)
        self.store_loads = fleet.store_loads
        self._fleet = fleet
        self._used = taken
        self._at_hand = collections.Counter(
            name
            for engine in fleet.engines
            for name in engine.in_memory | engine.on_disk
        )
        self._patient_swaps = sum(
            self._is_patient(engine.loading or engine.intended)
            for engine in fleet.engines
        )

    def plan(self) -> Iterator[Step]:
        """Finish swaps, bring missing models, then copies of busy ones."""
        for engine in self._fleet.engines:
            if engine.intended and self._is_open(engine):
                self._used.add(engine.name)
                yield from self._finish_swap(engine)
        for model in self._by_gain():
            if self._lacks_copies(model.name):
                yield from self._place_model(model)

    def _is_open(self, engine: EngineState) -> bool:
        return engine.name not in self._used and not engine.is_busy

    def _finish_swap(self, engine: EngineState) -> Iterator[Step]:
        model = self._fleet.models.get(engine.intended)
        if model is None or engine.intended in engine.held:
            return
        victims, _loss = self._choose_victims(model, engine)
        if victims is None:
            return
        step = self._make_step(model, engine, victims)
        if step.is_store_load and self.store_loads <= 0:
            return
        self.store_loads -= step.is_store_load
        yield step

    def _by_gain(self) -> list[ModelFacts]:
        known = self._fleet.models
        asked = [
            known[name]
            for name, demand in self._fleet.demand.items()
            if name in known and (demand.waiting or demand.asked_per_s)
        ]
        use = self.harm.lowest_use()
        return sorted(asked, key=lambda model: -self.harm.gain(model, use))

    def _lacks_copies(self, name: str) -> bool:
        wanted = self.harm.wanted_copies(name)
        return self.harm.copies[name] < min(wanted, len(self._fleet.engines))

    def _place_model(self, model: ModelFacts) -> Iterator[Step]:
        ways = self._list_ways(model)
        if not ways or self._must_wait(model):
            return
        best = min(ways, key=lambda way: way.cost)
        self._used.add(best.engine.name)
        self._patient_swaps += self._is_patient(model.name)
        if best.engine.is_busy:
            # Waiting for that engine is quicker than loading elsewhere.
            return
        self.harm.copies[model.name] += 1
        if best.is_store_load:
            self.store_loads -= 1
        self.harm.copies.subtract(best.victims)
        yield self._make_step(model, best.engine, best.victims)

    def _list_ways(self, model: ModelFacts) -> list[_Swap]:
        ways = []
        for engine in self._fleet.engines:
            if engine.name in self._used or model.name in list_models(engine):
                continue
            way = self._find_way(model, engine)
            if way and not (way.is_store_load and self._spares_store(model)):
                ways.append(way)
        return ways

    def _spares_store(self, model: ModelFacts) -> bool:
        """Tell whether a model may not be loaded from the weight store.

        Models that take turns stay on the disks that have them; otherwise
        they would crowd the weights of all others out of all disks.
        """
        if self.store_loads <= 0:
            return True
        if model.store_load_s < _SLOW_STORE * model.disk_load_s:
            return False
        return self._is_patient(model.name) and self._at_hand[model.name] > 0

    def _must_wait(self, model: ModelFacts) -> bool:
        limit = max(1, int(_PATIENT_SHARE * len(self._fleet.engines)))
        is_full = self._patient_swaps >= limit
        return is_full and self._is_patient(model.name)

    def _is_patient(self, name: str) -> bool:
        facts = self._fleet.models.get(name)
        return facts is not None and not self.harm.needs_residence(facts)

    def _make_step(
        self,
        model: ModelFacts,
        engine: EngineState,
        victims: tuple[str, ...],
    ) -> Step:
        if victims:
            return make_unload(engine, victims[0], model)
        return make_load(model, engine)

    def _find_way(
        self,
        model: ModelFacts,
        engine: EngineState,
    ) -> _Swap | None:
        victims, loss = self._choose_victims(model, engine)
        gain = self.harm.gain(model, self.harm.use_of(engine))
        if victims is None or gain <= 0 or loss > gain:
            return None
        expected_s = find_load_time(model, engine)
        demand = self.harm.demand(model.name)
        delay_s = engine.free_in_s + expected_s
        if any(self.harm.demand(name).in_flight for name in victims):
            delay_s += _DRAIN_S
        return _Swap(
            loss
            + self.harm.crowding(model.name, engine)
            + delay_s * (1 + demand.waiting + demand.asked_per_s)
            + expected_s * self.harm.adapter_rate(engine) * _ADAPTER_MISSES
            + expected_s * _BUSY_HARM,
            engine,
            victims,
            expected_s >= model.store_load_s,
        )

    def _choose_victims(
        self,
        model: ModelFacts,
        engine: EngineState,
    ) -> tuple[tuple[str, ...] | None, float]:
        candidates = [
            name for name in engine.held if self._may_leave(name, engine)
        ]
        return choose_victims(model, engine, candidates, self.harm)

    def _may_leave(self, name: str, engine: EngineState) -> bool:
        demand = self.harm.demand(name)
        is_used = demand.waiting or demand.in_flight
        stay_s = MIN_STAY_S if is_used else _MIN_IDLE_STAY_S
        return engine.loaded_s.get(name, MIN_STAY_S) >= stay_s
