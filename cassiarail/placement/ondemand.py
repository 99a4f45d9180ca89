"""Swap models and adapters between engines as they are asked for.

Answers many models with little demand each on engines that hold a few:
a model that requests wait for is loaded where that takes the least time and
harms the demand for what has to go the least. Busy models get more copies.
"""

from collections.abc import Iterator
from typing import NamedTuple

from cassiarail.placement.adapters import AdapterPlanner
from cassiarail.placement.fleet import (
    EngineState,
    Fleet,
    ModelDemand,
    ModelFacts,
    Step,
    count_adapters,
    find_load_time,
    list_models,
)

# A copy that has just been loaded stays for this long, so that two models
# don't evict each other by turns.
MIN_STAY_S = 4.0
# One copy carries requests up to this share of the slots of its engine.
_COPY_SHARE = 0.35
# What a model counts for that nobody has asked for yet, in requests a second;
# it fades while demand is known and the model is still not asked for.
_PRIOR_PER_S = 0.5
_PRIOR_FADES_S = 6.0
# Evicting costs two orders, an engine that is busy and perhaps a reload.
_MOVE_LOSS = 0.2
# An unload waits for the runs of its model, while the engine takes no order.
_DRAIN_S = 1.0
# The harm of losing a redundant copy, as a share of the harm of the last.
_REDUNDANT_SHARE = 0.3


class _Swap(NamedTuple):
    """Hold a way to bring a model to an engine."""

    cost: float
    engine: EngineState
    victims: tuple[str, ...]
    expected_s: float
    is_store_load: bool


def plan_steps(fleet: Fleet) -> list[Step]:
    """Return at most one order for each engine."""
    steps = list(AdapterPlanner(fleet).plan())
    taken = frozenset(step.engine for step in steps)
    return [*steps, *_ModelPlanner(fleet).plan(taken)]


class _ModelPlanner:
    """Plan the models of one moment."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._store_loads = fleet.store_loads
        self._copies: dict[str, int] = {}
        self._used: set[str] = set()
        for engine in fleet.engines:
            for model in list_models(engine):
                self._copies[model] = self._copies.get(model, 0) + 1
        self._has_missing = any(
            demand.waiting and not self._copies.get(model)
            for model, demand in fleet.demand.items()
        )

    def plan(self, taken: frozenset[str]) -> Iterator[Step]:
        """Finish swaps, bring missing models, then copies of busy ones."""
        self._used.update(taken)
        for engine in self._fleet.engines:
            if engine.intended and self._is_open(engine):
                self._used.add(engine.name)
                yield from self._finish_swap(engine)
        for name in self._by_urgency():
            if self._lacks_copies(name):
                yield from self._place_model(name)

    def _is_open(self, engine: EngineState) -> bool:
        return engine.name not in self._used and not engine.is_busy

    def _finish_swap(self, engine: EngineState) -> Iterator[Step]:
        model = self._fleet.models.get(engine.intended)
        if model is None or engine.intended in engine.held:
            return
        victims, _loss = self._choose_victims(model, engine)
        if victims is None:
            return
        yield self._make_step(model, engine, victims)

    def _by_urgency(self) -> list[str]:
        known = self._fleet.models
        asked = [
            name
            for name, demand in self._fleet.demand.items()
            if name in known and (demand.waiting or demand.asked_per_s)
        ]
        return sorted(asked, key=self._urgency)

    def _urgency(self, name: str) -> tuple[bool, bool, float]:
        demand = self._demand(name)
        is_missing = not self._copies.get(name)
        return (
            not (is_missing and demand.waiting),
            not is_missing,
            -(demand.waiting + demand.asked_per_s),
        )

    def _demand(self, name: str) -> ModelDemand:
        return self._fleet.demand.get(name, _NO_DEMAND)

    def _lacks_copies(self, name: str) -> bool:
        copies = self._copies.get(name, 0)
        if copies and self._has_missing:
            # Missing models go first.
            return False
        return copies < min(self._wanted(name), len(self._fleet.engines))

    def _wanted(self, name: str) -> int:
        """Return how many copies carry the demand."""
        engines = self._fleet.engines
        slots = max((each.slots for each in engines), default=1)
        demand = self._demand(name)
        running = max(0, demand.in_flight - demand.waiting)
        return 1 + int(running / (_COPY_SHARE * slots))

    def _place_model(self, name: str) -> Iterator[Step]:
        model = self._fleet.models[name]
        ways = self._list_ways(model, is_first=not self._copies.get(name))
        if not ways:
            return
        best = min(ways, key=lambda way: way.cost)
        self._used.add(best.engine.name)
        if best.engine.is_busy:
            # Waiting for that engine is quicker than loading elsewhere.
            return
        self._copies[name] = self._copies.get(name, 0) + 1
        if best.is_store_load:
            self._store_loads -= 1
        for victim in best.victims:
            self._copies[victim] -= 1
        yield self._make_step(model, best.engine, best.victims)

    def _list_ways(self, model: ModelFacts, *, is_first: bool) -> list[_Swap]:
        ways = [
            way
            for engine in self._fleet.engines
            if engine.name not in self._used
            and model.name not in list_models(engine)
            for way in self._ways(model, engine, is_first=is_first)
        ]
        if self._store_loads > 0:
            return ways
        return [way for way in ways if not way.is_store_load]

    def _make_step(
        self,
        model: ModelFacts,
        engine: EngineState,
        victims: tuple[str, ...],
    ) -> Step:
        if victims:
            return Step(
                engine.name,
                is_load=False,
                model=victims[0],
                intended=model.name,
            )
        expected_s = find_load_time(model, engine)
        return Step(
            engine.name,
            is_load=True,
            model=model.name,
            is_store_load=expected_s >= model.store_load_s,
            expected_s=expected_s,
        )

    def _ways(
        self,
        model: ModelFacts,
        engine: EngineState,
        *,
        is_first: bool,
    ) -> Iterator[_Swap]:
        expected_s = find_load_time(model, engine)
        is_store_load = expected_s >= model.store_load_s
        victims, loss = self._choose_victims(model, engine)
        if victims is None:
            return
        demand = self._demand(model.name)
        if is_first:
            gain = (demand.waiting + demand.asked_per_s) * model.store_load_s
        else:
            gain = demand.asked_per_s * self._crowding(model.name)
        if loss > gain:
            return
        yield _Swap(
            loss
            + (engine.free_in_s + expected_s) * (1 + demand.waiting)
            + expected_s * self._adapter_traffic(engine),
            engine,
            victims,
            expected_s,
            is_store_load,
        )

    def _crowding(self, name: str) -> float:
        """Return by how much the copies of a model are too full."""
        slots = max((each.slots for each in self._fleet.engines), default=1)
        copies = max(1, self._copies.get(name, 0))
        use = self._demand(name).in_flight / (copies * slots)
        return max(0, use - _COPY_SHARE)

    def _adapter_traffic(self, engine: EngineState) -> float:
        """Return the demand that a busy engine keeps from new adapters."""
        return _ADAPTER_HARM * sum(
            self._demand(name).asked_per_s
            for name in engine.held
            if self._demand(name).adapters_asked
        )

    def _choose_victims(
        self,
        model: ModelFacts,
        engine: EngineState,
    ) -> tuple[tuple[str, ...] | None, float]:
        free = engine.capacity_bytes - self._used_bytes(engine)
        victims: list[str] = []
        loss = float(0)
        candidates = sorted(
            (self._loss(name, engine), name)
            for name in engine.held
            if engine.loaded_s.get(name, MIN_STAY_S) >= MIN_STAY_S
        )
        for each_loss, name in candidates:
            if free >= model.weights_bytes:
                break
            victims.append(name)
            loss += each_loss
            free += self._bytes_of(name, engine.held[name])
        if free < model.weights_bytes:
            return None, 0
        return tuple(victims), loss

    def _loss(self, name: str, engine: EngineState) -> float:
        """Return the harm of unloading a model, in request-seconds."""
        demand = self._demand(name)
        facts = self._fleet.models.get(name)
        if facts is None:
            return 0
        rate = demand.asked_per_s + demand.waiting
        idle_s = min(demand.idle_s, self._fleet.known_s)
        rate += _PRIOR_PER_S * max(0, 1 - idle_s / _PRIOR_FADES_S)
        others = self._copies.get(name, 0) - 1
        harm = rate * facts.disk_load_s + demand.in_flight * _DRAIN_S
        if others >= self._wanted(name):
            harm *= _REDUNDANT_SHARE / others
        elif others > 0:
            harm /= others
        return harm + _MOVE_LOSS

    def _used_bytes(self, engine: EngineState) -> int:
        used = sum(
            self._bytes_of(name, adapters)
            for name, adapters in engine.held.items()
        )
        if engine.loading and engine.loading not in engine.held:
            used += self._bytes_of(engine.loading, frozenset())
        # Adapters come while a model is loading; their places stay free.
        return used + self._adapter_reserve(engine)

    def _adapter_reserve(self, engine: EngineState) -> int:
        largest = max(
            (each.adapter_bytes for each in self._fleet.models.values()),
            default=0,
        )
        free = engine.adapter_places - count_adapters(engine)
        return largest * max(0, free)

    def _bytes_of(self, name: str, adapters: frozenset[str]) -> int:
        facts = self._fleet.models.get(name)
        if facts is None:
            return _UNKNOWN_BYTES
        return facts.weights_bytes + facts.adapter_bytes * len(adapters)


_NO_DEMAND = ModelDemand(idle_s=float('inf'))
# Share of the requests for adapters that find theirs missing, as a guess.
_ADAPTER_HARM = 0.1
# Adapters are named by number.
# A model that the configuration doesn't describe is taken as a large one.
_UNKNOWN_BYTES = 80_000_000_000
