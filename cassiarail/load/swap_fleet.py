"""Simulate demand that moves between models on engines that hold few models.

Time is virtual and advances in ticks. Engines execute one order at a time and
keep serving; an unload waits for its running requests; weights stay cached on
an engine's disk and in its memory until others evict them. The simulation
compares planners of model swaps by the outcomes of requests, without a network.
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

Planner = Callable[[Fleet], Sequence[Step]]

TICK_S = 0.1
# Callers of streams time out after this many objectives, but not before two
# seconds.
_TIMEOUT_OBJECTIVES = 4
_MIN_TIMEOUT_S = 2.0
_RATE_WINDOW_S = 3.0
_LOADS_WINDOW_S = 5.0
# Time that a planner expects an unload to take.
_EXPECTED_UNLOAD_S = 0.4


class Phase(NamedTuple):
    """Describe the demand from ``start_s`` on; rates are requests a second."""

    start_s: float
    rates: Mapping[str, float]


class Scenario(NamedTuple):
    """Describe engines, models and demand; sizes are bytes.

    ``objectives`` are seconds by model. ``held`` lists the models that each
    engine holds at first. Traffic starts ``lead_s`` after the first plan.
    ``cached`` is how many models fit in memory and on disk.
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
    """Count the outcomes of requests, and the orders that were needed.

    ``unserved`` names the models that were requested and never served.
    ``attainment_by_objective`` holds the share of requests that were served
    on time, for each objective in seconds.
    """

    on_time: int
    late: int
    refused: int
    store_loads: int
    unloads: int
    unserved: frozenset[str]
    attainment_by_objective: Mapping[float, float]

    @property
    def attainment(self) -> float:
        """Return the share of requests that were served on time."""
        return self.on_time / max(1, self.on_time + self.late + self.refused)


class _Engine:
    """Simulate one engine."""

    def __init__(self, name: str, held: Sequence[str]) -> None:
        self.name = name
        self.loaded_at = dict.fromkeys(held, float('-inf'))
        self.runs: list[tuple[float, str]] = []
        self.loading = ''
        self.ready_at = float(0)
        self.unloading = ''
        self.intended = ''
        self.cached_models = list(held)

    def serves(self, model: str) -> bool:
        """Return whether a request for a model can start on this engine."""
        return model in self.loaded_at and model != self.unloading

    def advance(self, now: float) -> None:
        """Finish the runs and orders that are due."""
        self.runs = [run for run in self.runs if run[0] > now]
        if self.loading and now >= self.ready_at:
            self.loaded_at[self.loading] = now
            if self.loading in self.cached_models:
                self.cached_models.remove(self.loading)
            self.cached_models.append(self.loading)
            self.loading = ''
        is_used = any(model == self.unloading for _end, model in self.runs)
        if self.unloading and not is_used:
            self.loaded_at.pop(self.unloading)
            self.unloading = ''

    def describe(self, scenario: Scenario, now: float) -> EngineState:
        """Return the state of the engine as planner input."""
        in_memory, on_disk = scenario.cached
        is_busy = bool(self.loading or self.unloading)
        remaining_s = (
            self.ready_at - now if self.loading else _EXPECTED_UNLOAD_S
        )
        return EngineState(
            self.name,
            scenario.capacity_bytes,
            0,
            scenario.slots,
            {name: frozenset() for name in self.loaded_at},
            loading=self.loading,
            intended=self.intended,
            is_busy=is_busy,
            free_in_s=remaining_s if is_busy else 0,
            in_memory=frozenset(self.cached_models[-in_memory:]),
            on_disk=frozenset(self.cached_models[-on_disk:]),
            loaded_s={name: now - at for name, at in self.loaded_at.items()},
        )

    def execute(self, step: Step, now: float) -> None:
        """Start to execute an order."""
        if step.is_load:
            self.loading = step.model
            self.intended = ''
            self.ready_at = now + step.expected_s
        else:
            self.unloading = step.model
            self.intended = step.intended


class _WaitingRequest(NamedTuple):
    """Hold a request that waits for its model or for a slot."""

    arrived_at: float
    model: str


class SwapSimulation:
    """Simulate one scenario with one planner."""

    def __init__(self, scenario: Scenario, planner: Planner, seed: int) -> None:
        self._scenario = scenario
        self._planner = planner
        self._generator = random.Random(seed)
        self._engines = {
            f'e{number}': _Engine(f'e{number}', held)
            for number, held in enumerate(scenario.held)
        }
        self._initial_replicas = collections.Counter(
            name for held in scenario.held for name in held
        )
        self._waiting: list[_WaitingRequest] = []
        self._recent_requests: collections.deque[_WaitingRequest] = (
            collections.deque()
        )
        self._last_requested_at: dict[str, float] = {}
        self._store_loads_at: collections.deque[float] = collections.deque()
        self._counts: collections.Counter[str] = collections.Counter()
        self._ended_by_objective: collections.Counter[float] = (
            collections.Counter()
        )
        self._on_time_by_objective: collections.Counter[float] = (
            collections.Counter()
        )
        self._served_models: set[str] = set()

    def run(self) -> Outcome:
        """Run the simulation to its end and return the outcome."""
        scenario = self._scenario
        ticks = int((scenario.lead_s + scenario.length_s) / TICK_S)
        for number in range(ticks):
            now = number * TICK_S - scenario.lead_s
            for engine in self._engines.values():
                engine.advance(now)
            if now >= 0:
                self._add_arrivals(now)
            self._serve(now)
            self._execute_plan(now)
        return Outcome(
            self._counts['on_time'],
            self._counts['late'],
            self._counts['refused'],
            self._counts['store_loads'],
            self._counts['unloads'],
            frozenset(self._last_requested_at) - self._served_models,
            {
                objective_s: self._on_time_by_objective[objective_s] / ended
                for objective_s, ended in self._ended_by_objective.items()
            },
        )

    def _add_arrivals(self, now: float) -> None:
        started = [
            each for each in self._scenario.phases if each.start_s <= now
        ]
        for model, rate in started[-1].rates.items():
            expected_requests = rate * TICK_S
            while expected_requests > 0 and self._generator.random() < min(
                1, expected_requests
            ):
                expected_requests -= 1
                request = _WaitingRequest(now, model)
                self._waiting.append(request)
                self._recent_requests.append(request)
                self._last_requested_at[model] = now

    def _serve(self, now: float) -> None:
        still_waiting = []
        for request in self._waiting:
            objective_s = self._scenario.objectives[request.model]
            waited_s = now - request.arrived_at
            engine = self._find_engine(request.model)
            if engine:
                end = now + self._scenario.run_s
                engine.runs.append((end, request.model))
                self._served_models.add(request.model)
                is_on_time = waited_s <= objective_s
                self._counts['on_time' if is_on_time else 'late'] += 1
                self._on_time_by_objective[objective_s] += is_on_time
                self._ended_by_objective[objective_s] += 1
                continue
            timeout_s = max(
                _MIN_TIMEOUT_S,
                _TIMEOUT_OBJECTIVES * objective_s,
            )
            if waited_s > timeout_s:
                self._counts['refused'] += 1
                self._ended_by_objective[objective_s] += 1
            else:
                still_waiting.append(request)
        self._waiting = still_waiting

    def _find_engine(self, model: str) -> _Engine | None:
        usable = [
            engine
            for engine in self._engines.values()
            if engine.serves(model) and len(engine.runs) < self._scenario.slots
        ]
        return min(usable, key=lambda each: len(each.runs), default=None)

    def _execute_plan(self, now: float) -> None:
        for step in self._planner(self._describe(now)):
            self._engines[step.engine].execute(step, now)
            if step.is_store_load:
                self._store_loads_at.append(now)
                self._counts['store_loads'] += 1
            self._counts['unloads'] += not step.is_load

    def _describe(self, now: float) -> Fleet:
        scenario = self._scenario
        while (
            self._recent_requests
            and self._recent_requests[0].arrived_at < now - _RATE_WINDOW_S
        ):
            self._recent_requests.popleft()
        while (
            self._store_loads_at
            and self._store_loads_at[0] < now - _LOADS_WINDOW_S
        ):
            self._store_loads_at.popleft()
        allowed = int(scenario.loads_per_s * _LOADS_WINDOW_S)
        return Fleet(
            tuple(
                engine.describe(scenario, now)
                for engine in self._engines.values()
            ),
            scenario.models,
            self._describe_demand(now),
            {},
            max(0, allowed - len(self._store_loads_at)),
            max(0, now),
            self._initial_replicas,
            lead_s=max(0, -now),
        )

    def _describe_demand(self, now: float) -> dict[str, ModelDemand]:
        requested = collections.Counter(
            each.model for each in self._recent_requests
        )
        waiting = collections.Counter(each.model for each in self._waiting)
        running = collections.Counter(
            model
            for engine in self._engines.values()
            for _end, model in engine.runs
        )
        return {
            model: ModelDemand(
                requested[model] / _RATE_WINDOW_S,
                running[model],
                waiting[model],
                now - last_requested_at,
                objective_s=self._scenario.objectives[model],
            )
            for model, last_requested_at in self._last_requested_at.items()
        }


def plan_by_recency(fleet: Fleet) -> list[Step]:
    """Swap the least recently requested model for one with waiting requests.

    This planner is the baseline of comparisons.
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
        least_recent = max(
            engine.held, key=lambda each: _get_idle_s(fleet, each)
        )
        return Step(
            engine.name, is_load=False, model=least_recent, intended=name
        )
    load_s = find_load_time(model, engine)
    return Step(
        engine.name,
        is_load=True,
        model=name,
        is_store_load=load_s >= model.store_load_s,
        expected_s=load_s,
    )


def _get_idle_s(fleet: Fleet, name: str) -> float:
    demand = fleet.demand.get(name)
    return float('inf') if demand is None else demand.idle_s
