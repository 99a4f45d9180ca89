"""Compare placement policies on a fluid model of engines and demand.

Each step spreads every model's demand over its ready replicas and counts what
an engine can serve at full speed as on time. Loads take time and share the
weight store's limits. The model covers placement decisions only, not the
protocols that carry them out: nothing is sent.
"""

import math
import random
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from cassiarail.placement.backends.base import (
    HoldingKey,
    ModelNeed,
    MoveKind,
    PlacementInput,
    PlacementPolicy,
    Plan,
    TargetCapacity,
)
from cassiarail.placement.homes import size_bundle

STEP_S = 5.0
_SPREAD_ROUNDS = 4
_LOADING_STEPS = 2
_NOISE_SIGMA = 0.05
_BURST_FACTOR = 10.0
_BURST_SHARE = 0.0008
_BURST_RISE_S = 600.0
_ZIPF_EXPONENT = 0.9
_SMOOTHING_S = 15.0
# Rounding leaves tiny remainders, also negative, that must not be distributed.
_NEGLIGIBLE = 1e-9


class Score(NamedTuple):
    """Hold the outcome of one run of one policy.

    ``attainment`` is the share of demand that was served on time;
    ``unreachable`` counts steps times models without a ready replica after
    the first loads were due.
    """

    policy: str
    seed: int
    attainment: float
    attainment_per_accelerator: float
    moves: int
    unreachable: int


class DemandTrace:
    """Generate Zipf-distributed demand with noise and tenfold bursts."""

    def __init__(self, models: Sequence[str], total: float, seed: int) -> None:
        """Divide a total of concurrent requests among the models."""
        self._generator = random.Random(seed)
        order = list(models)
        self._generator.shuffle(order)
        weights = [(rank + 1) ** -_ZIPF_EXPONENT for rank in range(len(order))]
        scale = total / sum(weights)
        self._base = {
            model: scale * weight
            for model, weight in zip(order, weights, strict=True)
        }
        self._factor = dict.fromkeys(order, 1.0)
        self._desired_factor = dict.fromkeys(order, 1.0)

    def step(self) -> dict[str, float]:
        """Return each model's concurrent requests in the next step."""
        rise = math.exp(math.log(_BURST_FACTOR) * STEP_S / _BURST_RISE_S)
        for model in self._base:
            if self._generator.random() < _BURST_SHARE:
                is_high = self._desired_factor[model] > 1
                self._desired_factor[model] = 1 if is_high else _BURST_FACTOR
            factor = self._factor[model]
            if factor < self._desired_factor[model]:
                factor = min(factor * rise, self._desired_factor[model])
            else:
                factor = max(factor / rise, self._desired_factor[model])
            self._factor[model] = factor
        return {
            model: base
            * self._factor[model]
            * math.exp(self._generator.gauss(0, _NOISE_SIGMA))
            for model, base in self._base.items()
        }


class _SimulatedFleet:
    """Track the ready and loading models of each target."""

    def __init__(
        self, capacities: Sequence[TargetCapacity], loads_per_step: int
    ) -> None:
        self.capacities = {target.name: target for target in capacities}
        self.ready: dict[str, set[HoldingKey]] = {
            target.name: set() for target in capacities
        }
        self.moves = 0
        self._loads_per_step = loads_per_step
        self._loading: list[tuple[int, str, HoldingKey]] = []

    def list_holdings(self) -> dict[str, frozenset[HoldingKey]]:
        """Return what each target holds or loads."""
        held = {name: set(keys) for name, keys in self.ready.items()}
        for _, target, key in self._loading:
            held[target].add(key)
        return {name: frozenset(keys) for name, keys in held.items()}

    def apply(self, plan: Plan, needs: Mapping[str, ModelNeed]) -> None:
        """Start as many moves as limits, memory and last replicas allow."""
        for move in plan.moves:
            if move.kind is MoveKind.UNLOAD_MODEL:
                self._unload(move.target, move.key)
        budget = self._loads_per_step
        for move in plan.moves:
            if move.kind is not MoveKind.LOAD_MODEL or budget == 0:
                continue
            if self._fits(move.target, needs[move.key.model], needs):
                self._loading.append((_LOADING_STEPS, move.target, move.key))
                self.moves += 1
                budget -= 1

    def advance(self) -> None:
        """Advance one step and finish the loads that are due."""
        waiting = []
        for left, target, key in self._loading:
            if left > 1:
                waiting.append((left - 1, target, key))
            else:
                self.ready[target].add(key)
        self._loading = waiting

    def find_replicas(self, model: str) -> list[str]:
        """Return the targets where a model is ready."""
        return [
            target
            for target, keys in self.ready.items()
            if any(key.model == model for key in keys)
        ]

    def _unload(self, target: str, key: HoldingKey) -> None:
        if key in self.ready[target] and len(self.find_replicas(key.model)) > 1:
            self.ready[target].discard(key)
            self.moves += 1

    def _fits(
        self,
        target: str,
        need: ModelNeed,
        needs: Mapping[str, ModelNeed],
    ) -> bool:
        keys = self.list_holdings()[target]
        used = sum(size_bundle(needs[key.model]) for key in keys)
        return used + size_bundle(need) <= self.capacities[target].memory_bytes


class _Totals:
    """Sum the demand and what was served on time."""

    def __init__(self) -> None:
        self.served = float(0)
        self.requested = float(0)
        self.unreachable = 0

    def add(self, demand: Mapping[str, float], fleet: _SimulatedFleet) -> None:
        """Count one step."""
        replicas = {name: fleet.find_replicas(name) for name in demand}
        self.unreachable += sum(not names for names in replicas.values())
        self.served += spread_demand(demand, replicas, fleet.capacities)
        self.requested += sum(demand.values())


def run_policy(
    policy: PlacementPolicy,
    placement_input: PlacementInput,
    *,
    seed: int,
    total_demand: float,
    steps: int,
    loads_per_second: float,
) -> Score:
    """Run one policy on one seed and return its score."""
    trace = DemandTrace(
        [need.key.model for need in placement_input.models],
        total_demand,
        seed,
    )
    fleet = _SimulatedFleet(
        placement_input.targets, max(1, int(loads_per_second * STEP_S))
    )
    needs = {need.key.model: need for need in placement_input.models}
    warmup_steps = math.ceil(len(needs) / (loads_per_second * STEP_S))
    warmup_steps += 2 * _LOADING_STEPS
    totals = _Totals()
    estimates = dict.fromkeys(needs, (float(0), float(0)))
    for step in range(steps + warmup_steps):
        demand = trace.step()
        fleet.advance()
        if step >= warmup_steps:
            totals.add(demand, fleet)
        estimates = _smooth(estimates, demand)
        plan = policy.plan(_observe(placement_input, fleet, estimates))
        fleet.apply(plan, needs)
    attainment = totals.served / totals.requested
    return Score(
        policy.name,
        seed,
        attainment,
        attainment / len(placement_input.targets),
        fleet.moves,
        totals.unreachable,
    )


def bound_attainment(
    placement_input: PlacementInput,
    *,
    seed: int,
    total_demand: float,
    steps: int,
) -> float:
    """Return an upper bound of attainment with perfect knowledge.

    Every model may use every target at once: memory, load times and forecast
    errors are ignored, only the capacity of the fleet limits it.
    """
    trace = DemandTrace(
        [need.key.model for need in placement_input.models],
        total_demand,
        seed,
    )
    capacity = sum(target.capacity for target in placement_input.targets)
    served = float(0)
    requested = float(0)
    for _ in range(steps):
        demand = sum(trace.step().values())
        served += min(demand, capacity)
        requested += demand
    return served / requested


def spread_demand(
    demand: Mapping[str, float],
    replicas: Mapping[str, Sequence[str]],
    capacities: Mapping[str, TargetCapacity],
) -> float:
    """Return the concurrent requests that are served at full speed.

    Each round divides every model's remaining demand evenly among its
    replicas with free capacity.
    """
    headroom = {name: target.capacity for name, target in capacities.items()}
    remaining = {model: demand[model] for model in replicas}
    for _ in range(_SPREAD_ROUNDS):
        offers = _make_offers(remaining, replicas, headroom)
        for target, shares in offers.items():
            total = sum(shares.values())
            scale = min(1, headroom[target] / total) if total else 0
            for model, share in shares.items():
                remaining[model] -= share * scale
            headroom[target] -= total * scale
    return sum(demand[model] - left for model, left in remaining.items())


def _make_offers(
    remaining: Mapping[str, float],
    replicas: Mapping[str, Sequence[str]],
    headroom: Mapping[str, float],
) -> dict[str, dict[str, float]]:
    offers: dict[str, dict[str, float]] = {}
    for model, left in remaining.items():
        if left < _NEGLIGIBLE:
            continue
        free = [
            name for name in replicas[model] if headroom[name] > _NEGLIGIBLE
        ]
        for name in free:
            offers.setdefault(name, {})[model] = left / len(free)
    return offers


def _observe(
    placement_input: PlacementInput,
    fleet: _SimulatedFleet,
    estimates: Mapping[str, tuple[float, float]],
) -> PlacementInput:
    held = fleet.list_holdings()
    models = [
        need._replace(
            demand=estimates[need.key.model][0],
            variance=estimates[need.key.model][1],
        )
        for need in placement_input.models
    ]
    targets = [
        target._replace(held=held[target.name])
        for target in placement_input.targets
    ]
    return placement_input._replace(
        models=tuple(models), targets=tuple(targets)
    )


def _smooth(
    estimates: Mapping[str, tuple[float, float]],
    demand: Mapping[str, float],
) -> dict[str, tuple[float, float]]:
    gain = 1 - math.exp(-STEP_S / _SMOOTHING_S)
    smoothed = {}
    for model, (level, variance) in estimates.items():
        error = demand[model] - level
        smoothed[model] = (
            level + gain * error,
            variance + gain * (error * error - variance) / 4,
        )
    return smoothed
