"""Load weights ahead, so that a later swap doesn't need the weight store.

Answers demand that moves to models which no engine has at hand: a load from
the weight store takes seconds, one from an engine's own disk under one. Room
is made for this only before there is traffic; later, only free memory of
engines that serve no adapters is used.
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
from cassiarail.placement.harm import HarmModel
from cassiarail.placement.swaps import (
    choose_victims,
    make_load,
    make_unload,
)

# Loads from the store that are left to models which requests wait for.
_RESERVED_LOADS = 3
# Bringing back what made room for a load takes two orders and this much more
# than a load from disk.
_RETURN_S = 0.5
# Requests a second for adapters that a load may keep waiting.
_QUIET_ADAPTERS_PER_S = 0.2


class _Way(NamedTuple):
    """Hold a way to load a model ahead."""

    loss: float
    load_s: float
    engine: EngineState
    victims: tuple[str, ...]


def plan_seeding(
    fleet: Fleet,
    harm: HarmModel,
    taken: set[str],
    store_loads: int,
) -> Iterator[Step]:
    """Yield orders for engines that have nothing better to do."""
    planner = _SeedPlanner(fleet, harm, taken)
    if not fleet.demand and not planner.has_time:
        yield from planner.restore()
    if not fleet.demand:
        yield from planner.seed(store_loads, may_evict=True)
        yield from planner.restore()
    elif not any(each.waiting for each in fleet.demand.values()):
        yield from planner.seed(
            store_loads - _RESERVED_LOADS,
            may_evict=False,
        )
        yield from planner.fill()


class _SeedPlanner:
    """Plan loads ahead of demand; add the engines used to ``taken``."""

    def __init__(
        self,
        fleet: Fleet,
        harm: HarmModel,
        taken: set[str],
    ) -> None:
        self._fleet = fleet
        self._harm = harm
        self._taken = taken

    @property
    def has_time(self) -> bool:
        """Tell whether what makes room for a load can still be back."""
        return any(map(self._can_return, self._fleet.models.values()))

    def seed(self, store_loads: int, *, may_evict: bool) -> Iterator[Step]:
        """Bring weights that no engine has at hand out of the store."""
        at_hand: set[str] = set()
        for engine in self._fleet.engines:
            at_hand |= list_models(engine)
            at_hand |= engine.in_memory | engine.on_disk
        for model in self._fleet.models.values():
            if store_loads <= 0:
                return
            if model.name in at_hand:
                continue
            step = self._load(model, may_evict=may_evict)
            if step is not None:
                store_loads -= 1
                yield step

    def restore(self) -> Iterator[Step]:
        """Bring back what the engines held when they were first seen."""
        initial_copies = self._fleet.initial_copies
        by_copies = sorted(
            (-copies, name) for name, copies in initial_copies.items()
        )
        for _copies, name in by_copies:
            model = self._fleet.models.get(name)
            if model and self._harm.copies[name] < initial_copies[name]:
                step = self._load(model, may_evict=True, only_at_hand=True)
                if step is not None:
                    yield step

    def fill(self) -> Iterator[Step]:
        """Use free memory for models that no engine holds."""
        for model in self._fleet.models.values():
            if self._harm.is_missing(model.name):
                step = self._load(model, may_evict=False, only_at_hand=True)
                if step is not None:
                    yield step

    def _load(
        self,
        model: ModelFacts,
        *,
        may_evict: bool,
        only_at_hand: bool = False,
    ) -> Step | None:
        may_evict = may_evict and (only_at_hand or self._fleet.lead_s > 0)
        ways = [
            way
            for engine in self._fleet.engines
            if self._is_open(engine) and model.name not in engine.held
            for way in self._find_ways(model, engine, may_evict=may_evict)
            if not only_at_hand or way.load_s < model.store_load_s
        ]
        if not ways:
            return None
        best = min(ways, key=lambda way: (way.loss, way.load_s))
        self._taken.add(best.engine.name)
        self._harm.copies[model.name] += 1
        self._harm.copies.subtract(best.victims)
        if best.victims:
            return make_unload(best.engine, best.victims[0], model)
        return make_load(model, best.engine)

    def _can_return(self, model: ModelFacts) -> bool:
        """Tell whether what makes room is back before there is traffic."""
        return_s = model.disk_load_s + _RETURN_S
        return model.store_load_s + return_s < self._fleet.lead_s

    def _is_open(self, engine: EngineState) -> bool:
        if engine.is_busy or engine.intended or engine.name in self._taken:
            return False
        return self._harm.adapter_rate(engine) <= _QUIET_ADAPTERS_PER_S

    def _find_ways(
        self,
        model: ModelFacts,
        engine: EngineState,
        *,
        may_evict: bool,
    ) -> Iterator[_Way]:
        candidates = [
            name
            for name in engine.held
            if may_evict and not self._is_as_popular(name, model.name)
        ]
        victims, loss = choose_victims(model, engine, candidates, self._harm)
        if victims is not None:
            yield _Way(loss, find_load_time(model, engine), engine, victims)

    def _is_as_popular(self, name: str, other: str) -> bool:
        """Tell whether a model has to stay, rather than make room."""
        initial_copies = self._fleet.initial_copies
        if self._harm.is_missing(other) and other not in initial_copies:
            facts = self._fleet.models[other]
            return name in initial_copies and not self._can_return(facts)
        if self._harm.copies[name] > initial_copies.get(name, 0):
            return False
        return initial_copies.get(name, 0) >= initial_copies.get(other, 0)
