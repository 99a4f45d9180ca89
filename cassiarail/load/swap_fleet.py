"""Play demand that moves between models on engines that hold a few of them.

Time is virtual and moves in ticks. Engines take one order at a time and serve
meanwhile; an unload waits for its runs; weights stay on an engine's disk and
in its memory until others crowd them out. This compares plans of swaps by what
callers get, without a network.
"""

import collections
import random
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from cassiarail.placement.fleet import (
    EngineState,
    Fleet,
    ModelDemand,
    ModelFacts,
    Step,
    find_load_time,
)

Plan = Callable[[Fleet], Sequence[Step]]

TICK_S = 0.1
# Callers of streams give up after this many objectives, or two seconds.
_PATIENCE_OBJECTIVES = 4
_SHORTEST_PATIENCE_S = 2.0
_RATE_WINDOW_S = 3.0
_LOADS_WINDOW_S = 5.0
# What a plan expects of an engine that unloads.
_DRAIN_S = 0.4


class Phase(NamedTuple):
    """Describe the demand from one moment on; rates are requests a second."""

    begin_s: float
    rates: Mapping[str, float]


class Scenario(NamedTuple):
    """Describe engines, models and demand; sizes are bytes.

    ``objectives`` are seconds by model; ``held`` is what engines hold at
    first, one entry for each engine. Traffic begins ``lead_s`` after the
    first plan. ``cached`` is how many models fit in memory and on disk.
    """

    models: Mapping[str, ModelFacts]
    held: Sequence[Sequence[str]]
    phases: Sequence[Phase]
    objectives: Mapping[str, float]
    capacity_bytes: int
    slots: int
    loads_per_s: float
    length_s: float
    lead_s: float = 8
    run_s: float = 1.5
    cached: tuple[int, int] = (2, 6)


class Outcome(NamedTuple):
    """Count what callers got, and what it took.

    ``unserved`` names the models that were asked for and never answered.
    """

    on_time: int
    late: int
    refused: int
    store_loads: int
    unloads: int
    unserved: frozenset[str]

    @property
    def attainment(self) -> float:
        """Return the share of requests that were answered on time."""
        return self.on_time / max(1, self.on_time + self.late + self.refused)


class _Engine:
    """Hold one engine of the play."""

    def __init__(self, name: str, held: Sequence[str]) -> None:
        self.name = name
        self.loaded_at = dict.fromkeys(held, float('-inf'))
        self.runs: list[tuple[float, str]] = []
        self.loading = ''
        self.ready_at = float(0)
        self.unloading = ''
        self.intended = ''
        self.at_hand = list(held)

    def serves(self, model: str) -> bool:
        """Tell whether a request for a model may begin here."""
        return model in self.loaded_at and model != self.unloading

    def advance(self, now: float) -> None:
        """Finish what is due."""
        self.runs = [run for run in self.runs if run[0] > now]
        if self.loading and now >= self.ready_at:
            self.loaded_at[self.loading] = now
            if self.loading in self.at_hand:
                self.at_hand.remove(self.loading)
            self.at_hand.append(self.loading)
            self.loading = ''
        is_used = any(model == self.unloading for _end, model in self.runs)
        if self.unloading and not is_used:
            self.loaded_at.pop(self.unloading)
            self.unloading = ''

    def describe(self, scenario: Scenario, now: float) -> EngineState:
        """Return the engine as a plan sees it."""
        in_memory, on_disk = scenario.cached
        is_busy = bool(self.loading or self.unloading)
        left_s = self.ready_at - now if self.loading else _DRAIN_S
        return EngineState(
            self.name,
            scenario.capacity_bytes,
            0,
            scenario.slots,
            {name: frozenset() for name in self.loaded_at},
            loading=self.loading,
            intended=self.intended,
            is_busy=is_busy,
            free_in_s=left_s if is_busy else 0,
            in_memory=frozenset(self.at_hand[-in_memory:]),
            on_disk=frozenset(self.at_hand[-on_disk:]),
            loaded_s={name: now - at for name, at in self.loaded_at.items()},
        )

    def take(self, step: Step, now: float) -> None:
        """Carry out an order."""
        if step.is_load:
            self.loading = step.model
            self.intended = ''
            self.ready_at = now + step.expected_s
        else:
            self.unloading = step.model
            self.intended = step.intended


class _Waiting(NamedTuple):
    """Hold a request that waits for its model or for a slot."""

    arrived_at: float
    model: str


class SwapPlay:
    """Play one scenario with one plan."""

    def __init__(self, scenario: Scenario, plan: Plan, seed: int) -> None:
        self._scenario = scenario
        self._plan = plan
        self._generator = random.Random(seed)
        self._engines = {
            f'e{number}': _Engine(f'e{number}', held)
            for number, held in enumerate(scenario.held)
        }
        self._popular = collections.Counter(
            name for held in scenario.held for name in held
        )
        self._waiting: list[_Waiting] = []
        self._asked: collections.deque[_Waiting] = collections.deque()
        self._asked_at: dict[str, float] = {}
        self._loads: collections.deque[float] = collections.deque()
        self._counts: collections.Counter[str] = collections.Counter()
        self._served: set[str] = set()

    def run(self) -> Outcome:
        """Play to the end."""
        scenario = self._scenario
        ticks = int((scenario.lead_s + scenario.length_s) / TICK_S)
        for number in range(ticks):
            now = number * TICK_S - scenario.lead_s
            for engine in self._engines.values():
                engine.advance(now)
            if now >= 0:
                self._arrive(now)
            self._serve(now)
            self._give_orders(now)
        return Outcome(
            self._counts['on_time'],
            self._counts['late'],
            self._counts['refused'],
            self._counts['store_loads'],
            self._counts['unloads'],
            frozenset(self._asked_at) - self._served,
        )

    def _arrive(self, now: float) -> None:
        begun = [each for each in self._scenario.phases if each.begin_s <= now]
        for model, rate in begun[-1].rates.items():
            left = rate * TICK_S
            while left > 0 and self._generator.random() < min(1, left):
                left -= 1
                request = _Waiting(now, model)
                self._waiting.append(request)
                self._asked.append(request)
                self._asked_at[model] = now

    def _serve(self, now: float) -> None:
        kept = []
        for request in self._waiting:
            objective_s = self._scenario.objectives[request.model]
            waited_s = now - request.arrived_at
            engine = self._find_engine(request.model)
            if engine:
                end = now + self._scenario.run_s
                engine.runs.append((end, request.model))
                self._served.add(request.model)
                is_on_time = waited_s <= objective_s
                self._counts['on_time' if is_on_time else 'late'] += 1
                continue
            patience_s = max(
                _SHORTEST_PATIENCE_S,
                _PATIENCE_OBJECTIVES * objective_s,
            )
            if waited_s > patience_s:
                self._counts['refused'] += 1
            else:
                kept.append(request)
        self._waiting = kept

    def _find_engine(self, model: str) -> _Engine | None:
        usable = [
            engine
            for engine in self._engines.values()
            if engine.serves(model) and len(engine.runs) < self._scenario.slots
        ]
        return min(usable, key=lambda each: len(each.runs), default=None)

    def _give_orders(self, now: float) -> None:
        for step in self._plan(self._describe(now)):
            self._engines[step.engine].take(step, now)
            if step.is_store_load:
                self._loads.append(now)
                self._counts['store_loads'] += 1
            self._counts['unloads'] += not step.is_load

    def _describe(self, now: float) -> Fleet:
        scenario = self._scenario
        while self._asked and self._asked[0].arrived_at < now - _RATE_WINDOW_S:
            self._asked.popleft()
        while self._loads and self._loads[0] < now - _LOADS_WINDOW_S:
            self._loads.popleft()
        allowed = int(scenario.loads_per_s * _LOADS_WINDOW_S)
        return Fleet(
            tuple(
                engine.describe(scenario, now)
                for engine in self._engines.values()
            ),
            scenario.models,
            self._describe_demand(now),
            {},
            max(0, allowed - len(self._loads)),
            max(0, now),
            self._popular,
            lead_s=max(0, -now),
        )

    def _describe_demand(self, now: float) -> dict[str, ModelDemand]:
        asked = collections.Counter(each.model for each in self._asked)
        waiting = collections.Counter(each.model for each in self._waiting)
        running = collections.Counter(
            model
            for engine in self._engines.values()
            for _end, model in engine.runs
        )
        return {
            model: ModelDemand(
                asked[model] / _RATE_WINDOW_S,
                running[model],
                waiting[model],
                now - asked_at,
                objective_s=self._scenario.objectives[model],
            )
            for model, asked_at in self._asked_at.items()
        }


def plan_by_recency(fleet: Fleet) -> list[Step]:
    """Load what is waited for in place of what was asked for longest ago.

    This is the rule that plans are compared with.
    """
    steps: list[Step] = []
    held = {name for engine in fleet.engines for name in engine.held}
    held |= {engine.loading or engine.intended for engine in fleet.engines}
    missing = [
        name
        for name, demand in fleet.demand.items()
        if demand.waiting and name not in held
    ]
    for engine in fleet.engines:
        if engine.is_busy:
            continue
        if engine.intended:
            steps.append(_swap_by_recency(fleet, engine, engine.intended))
        elif missing:
            steps.append(_swap_by_recency(fleet, engine, missing.pop(0)))
    return steps


def _swap_by_recency(fleet: Fleet, engine: EngineState, name: str) -> Step:
    model = fleet.models[name]
    used = sum(fleet.models[each].weights_bytes for each in engine.held)
    if used + model.weights_bytes > engine.capacity_bytes:
        oldest = max(engine.held, key=lambda each: _idle_s(fleet, each))
        return Step(engine.name, is_load=False, model=oldest, intended=name)
    load_s = find_load_time(model, engine)
    return Step(
        engine.name,
        is_load=True,
        model=name,
        is_store_load=load_s >= model.store_load_s,
        expected_s=load_s,
    )


def _idle_s(fleet: Fleet, name: str) -> float:
    demand = fleet.demand.get(name)
    return float('inf') if demand is None else demand.idle_s
