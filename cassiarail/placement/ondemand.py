"""Swap models and adapters between engines as they are asked for.

Answers many models with little demand each on engines that hold a few:
a model that requests wait for is loaded where that takes the least time and
harms the demand for what has to go the least. Busy models get more copies.
"""

from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

# A copy that has just been loaded stays for this long, so that two models
# don't evict each other by turns.
MIN_STAY_S = 4.0
# One copy carries requests up to this share of the slots of its engine.
_COPY_SHARE = 0.35
_ADAPTER_STAY_S = 0.5
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
    request, and ``adapters_asked`` counts the adapters asked for recently.
    """

    asked_per_s: float = 0
    in_flight: int = 0
    waiting: int = 0
    idle_s: float = 0
    adapters_asked: int = 0


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
    for has been idle for no longer than that.
    """

    engines: tuple[EngineState, ...]
    models: Mapping[str, ModelFacts]
    demand: Mapping[str, ModelDemand]
    adapter_waiting: Mapping[tuple[str, str], int]
    store_loads: int
    known_s: float = 0


class _Swap(NamedTuple):
    """Hold a way to bring a model to an engine."""

    cost: float
    engine: EngineState
    victims: tuple[str, ...]
    expected_s: float
    is_store_load: bool


def plan_steps(fleet: Fleet) -> list[Step]:
    """Return at most one order for each engine."""
    planner = _Planner(fleet)
    steps: dict[str, Step] = {}
    for step in planner.plan_adapters():
        steps.setdefault(step.engine, step)
    for step in planner.plan_models(frozenset(steps)):
        steps.setdefault(step.engine, step)
    return list(steps.values())


def expect_load_s(
    model: ModelFacts,
    engines: Iterable[EngineState],
) -> float:
    """Return the shortest time in which a model can be ready anywhere."""
    return min(
        (_load_time(model, engine) for engine in engines),
        default=model.store_load_s,
    )


class _Planner:
    """Plan for one moment."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._store_loads = fleet.store_loads
        self._copies: dict[str, int] = {}
        self._has_missing = False
        for engine in fleet.engines:
            for model in _all_models(engine):
                self._copies[model] = self._copies.get(model, 0) + 1
        self._has_missing = any(
            demand.waiting and not self._copies.get(model)
            for model, demand in fleet.demand.items()
        )

    def plan_adapters(self) -> Iterator[Step]:
        """Bring the adapters that requests wait for, then likely ones."""
        wanted = sorted(
            self._fleet.adapter_waiting.items(),
            key=lambda row: -row[1],
        )
        taken = {
            engine.name for engine in self._fleet.engines if engine.is_busy
        }
        for (model, adapter), _waiting in wanted:
            step = self._place_adapter(model, adapter, taken, evict=True)
            if step is not None:
                taken.add(step.engine)
                yield step
        for model, adapter in self._list_likely():
            step = self._place_adapter(model, adapter, taken, evict=False)
            if step is not None:
                taken.add(step.engine)
                yield step

    def plan_models(self, taken: frozenset[str]) -> Iterator[Step]:
        """Finish swaps, bring missing models, then copies of busy ones."""
        used = set(taken)
        for engine in self._fleet.engines:
            is_open = engine.name not in used and not engine.is_busy
            if engine.intended and is_open:
                used.add(engine.name)
                yield from self._finish_swap(engine)
        for name in self._by_urgency():
            if not self._lacks_copies(name):
                continue
            if self._copies.get(name) and self._has_missing:
                break
            step = self._place_model(name, used)
            if step is not None:
                used.add(step.engine)
                yield step

    def _finish_swap(self, engine: EngineState) -> Iterator[Step]:
        model = self._fleet.models.get(engine.intended)
        if model is None or engine.intended in engine.held:
            return
        victims, _loss = self._choose_victims(model, engine)
        if victims is None:
            return
        yield self._make_step(model, engine, victims)

    def _place_adapter(
        self,
        model: str,
        adapter: str,
        taken: set[str],
        *,
        evict: bool,
    ) -> Step | None:
        copies = [
            engine for engine in self._fleet.engines if model in engine.held
        ]
        if any(adapter in engine.held[model] for engine in copies):
            return None
        homes = [engine for engine in copies if engine.name not in taken]
        free = [
            engine
            for engine in homes
            if _count_adapters(engine) < engine.adapter_places
        ]
        if free:
            home = min(free, key=_count_adapters)
            return Step(home.name, is_load=True, model=model, adapter=adapter)
        return _evict_adapter(homes) if evict else None

    def _list_likely(self) -> Iterator[tuple[str, str]]:
        """Yield adapters of busy models that may be asked for soon.

        Loading one early is nearly free, while a request that waits for one
        is late when the engine is busy with a model's weights. Before there
        is demand, models with several copies are taken as the busy ones.
        """
        for name, copies in self._copies.items():
            facts = self._fleet.models.get(name)
            is_busy = self._demand(name).asked_per_s > 0 or copies > 1
            if facts is None or not is_busy:
                continue
            for number in range(1, facts.adapter_count + 1):
                yield name, f'{_ADAPTER_PREFIX}{number}'

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
        return copies < min(self._wanted(name), len(self._fleet.engines))

    def _wanted(self, name: str) -> int:
        """Return how many copies carry the demand."""
        engines = self._fleet.engines
        slots = max((each.slots for each in engines), default=1)
        demand = self._demand(name)
        running = max(0, demand.in_flight - demand.waiting)
        return 1 + int(running / (_COPY_SHARE * slots))

    def _place_model(self, name: str, used: set[str]) -> Step | None:
        model = self._fleet.models[name]
        is_first = not self._copies.get(name)
        ways = [
            way
            for engine in self._fleet.engines
            if engine.name not in used and name not in _all_models(engine)
            for way in self._ways(model, engine, is_first=is_first)
        ]
        ways = [
            way
            for way in ways
            if not way.is_store_load or self._store_loads > 0
        ]
        if not ways:
            return None
        best = min(ways, key=lambda way: way.cost)
        if best.engine.is_busy:
            # Waiting for that engine is quicker than loading elsewhere.
            used.add(best.engine.name)
            return None
        self._copies[name] = self._copies.get(name, 0) + 1
        if best.is_store_load:
            self._store_loads -= 1
        for victim in best.victims:
            self._copies[victim] -= 1
        return self._make_step(model, best.engine, best.victims)

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
        expected_s = _load_time(model, engine)
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
        expected_s = _load_time(model, engine)
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
        free = engine.adapter_places - _count_adapters(engine)
        return largest * max(0, free)

    def _bytes_of(self, name: str, adapters: frozenset[str]) -> int:
        facts = self._fleet.models.get(name)
        if facts is None:
            return _UNKNOWN_BYTES
        return facts.weights_bytes + facts.adapter_bytes * len(adapters)


_NO_DEMAND = ModelDemand(idle_s=float('inf'))
_ADAPTER_PREFIX = 'a'
# Share of the requests for adapters that find theirs missing, as a guess.
_ADAPTER_HARM = 0.1
# Adapters are named by number.
_ADAPTER_PREFIX = 'a'
# A model that the configuration doesn't describe is taken as a large one.
_UNKNOWN_BYTES = 80_000_000_000


def _load_time(model: ModelFacts, engine: EngineState) -> float:
    if model.name in engine.in_memory:
        return model.memory_load_s
    if model.name in engine.on_disk:
        return model.disk_load_s
    return model.store_load_s


def _all_models(engine: EngineState) -> set[str]:
    return {*engine.held, engine.loading, engine.intended} - {''}


def _count_adapters(engine: EngineState) -> int:
    return sum(len(adapters) for adapters in engine.held.values())


def _evict_adapter(homes: list[EngineState]) -> Step | None:
    longest: tuple[float, Step] | None = None
    for engine in homes:
        for model, adapter in _list_adapters(engine):
            key = (model, adapter)
            idle_s = engine.adapter_idle_s.get(key, _LONG_IDLE_S)
            if longest is None or idle_s > longest[0]:
                step = Step(
                    engine.name,
                    is_load=False,
                    model=model,
                    adapter=adapter,
                )
                longest = (idle_s, step)
    if longest is None or longest[0] < _ADAPTER_STAY_S:
        return None
    return longest[1]


def _list_adapters(engine: EngineState) -> Iterator[tuple[str, str]]:
    for model, adapters in engine.held.items():
        for adapter in adapters:
            yield model, adapter


_LONG_IDLE_S = 1_000_000.0
