"""Measure placement: policies against each other, and the cost of a plan.

Run ``python -m cassiarail.placement.measure policies`` or ``... plan``.
"""

import json
import pathlib
import random
import statistics
import time
import tracemalloc
from typing import Annotated

import typer

from cassiarail.declarations.loader import load_folder
from cassiarail.placement.backends.base import (
    HoldingKey,
    ModelNeed,
    PlacementInput,
    PlacementPolicy,
    TargetCapacity,
)
from cassiarail.placement.backends.greedy import GreedyPolicy
from cassiarail.placement.backends.priced import PricedPolicy
from cassiarail.placement.backends.static import StaticPolicy
from cassiarail.placement.demand import Forecast
from cassiarail.placement.homes import assign_homes
from cassiarail.placement.needs import build_need, list_capacities
from cassiarail.placement.simulation import bound_attainment, run_policy

cli = typer.Typer(no_args_is_help=True)
_GIGABYTE = 10**9
_DATA_CENTRES = 7
_SALINES_PRICE = 0.2
_INGOBYI_PRICE = 2.0
_DEMAND_SHAPE = 1.2
_DEMAND_MIN = 20
_DEMAND_CHANGE = (0.3, 3)
_REPLICAS_MAX = 256
_ENGINE_MEMORY_BYTES = 160_000_000_000
_ENGINE_CAPACITY = 32
_PLAN_SIZES = ((60, 550), (240, 2200), (960, 8800))


def read_situation(folder: pathlib.Path) -> PlacementInput:
    """Return the fleet of a declarations folder as one planning problem."""
    declarations, _ = load_folder(folder)
    rooms = list_capacities(declarations)
    needs = [
        build_need(declarations, model, Forecast(0, 0))
        for model in declarations['models']
    ]
    price = declarations['fleet']['defaults']['move_price']
    return PlacementInput(tuple(needs), rooms, price)


def generate_fleet(models: int, accelerators: int, seed: int) -> PlacementInput:
    """Return a fleet of a size: two accelerators an engine."""
    generator = random.Random(seed)
    needs = [
        ModelNeed(
            key=HoldingKey(f'model-{number}', '1'),
            service='engine',
            bytes=generator.choice((6, 12, 24)) * _GIGABYTE,
            kv_reserve_bytes=4 * _GIGABYTE,
            demand=generator.paretovariate(_DEMAND_SHAPE) * _DEMAND_MIN,
            variance=9,
            adapters={f'adapter-{each}': 10**8 for each in range(3)},
            replicas_max=_REPLICAS_MAX,
        )
        for number in range(models)
    ]
    rooms = [
        TargetCapacity(
            name=f'engine-{number}',
            service='engine',
            data_centre=f'data-centre-{number % _DATA_CENTRES}',
            memory_bytes=_ENGINE_MEMORY_BYTES,
            capacity=_ENGINE_CAPACITY,
        )
        for number in range(accelerators // 2)
    ]
    return PlacementInput(tuple(needs), tuple(rooms), _SALINES_PRICE)


def time_plan(models: int, accelerators: int, seed: int) -> dict[str, float]:
    """Return seconds of processor time and peak bytes of one plan.

    The plan is one data centre's: homes over the whole fleet, then the
    replicas of its own targets, first from empty, then after demand changed.
    """
    fleet = generate_fleet(models, accelerators, seed)
    policy = PricedPolicy()
    tracemalloc.start()
    _plan_centre(policy, fleet)
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    started = time.process_time()
    first = _plan_centre(policy, fleet)
    between = time.process_time()
    _plan_centre(policy, _change_demand(fleet, first, seed))
    ended = time.process_time()
    return {
        'models': models,
        'accelerators': accelerators,
        'first_plan_cpu_s': between - started,
        'next_plan_cpu_s': ended - between,
        'peak_bytes': peak,
    }


@cli.command()
def policies(
    folder: Annotated[pathlib.Path, typer.Option(help='Declarations.')],
    seeds: Annotated[int, typer.Option(help='Number of seeds.')] = 10,
    steps: Annotated[int, typer.Option(help='Steps of 5 s.')] = 1440,
    demand: Annotated[float, typer.Option(help='Total concurrency.')] = 60,
    report: Annotated[pathlib.Path | None, typer.Option()] = None,
) -> None:
    """Compare all policies on the same seeds."""
    situation = read_situation(folder)
    contenders: dict[str, tuple[PlacementPolicy, float]] = {
        'static': (StaticPolicy(), 0),
        'greedy': (GreedyPolicy(), 0),
        'priced_salines': (PricedPolicy(), _SALINES_PRICE),
        'priced_ingobyi': (PricedPolicy(), _INGOBYI_PRICE),
    }
    rows = []
    for name, (policy, price) in contenders.items():
        scores = [
            run_policy(
                policy,
                situation._replace(move_price=price),
                seed=seed,
                total_demand=demand,
                steps=steps,
                loads_per_second=2,
            )
            for seed in range(seeds)
        ]
        attained = [score.attainment for score in scores]
        rows.append(
            {
                'policy': name,
                'attainment': statistics.mean(attained),
                'attainment_sd': statistics.pstdev(attained),
                'moves': statistics.mean(score.moves for score in scores),
                'unreachable': sum(score.unreachable for score in scores),
            },
        )
        typer.echo(json.dumps(rows[-1]))
    bounds = [
        bound_attainment(
            situation,
            seed=seed,
            total_demand=demand,
            steps=steps,
        )
        for seed in range(seeds)
    ]
    rows.append(
        {'policy': 'hindsight', 'attainment': statistics.mean(bounds)},
    )
    typer.echo(json.dumps(rows[-1]))
    if report is not None:
        report.write_text(json.dumps(rows, indent=2))


@cli.command()
def plan(
    seed: Annotated[int, typer.Option(help='Seed of the fleet.')] = 1,
) -> None:
    """Print the cost of a plan at three sizes."""
    for models, accelerators in _PLAN_SIZES:
        typer.echo(json.dumps(time_plan(models, accelerators, seed)))


def _plan_centre(
    policy: PlacementPolicy,
    fleet: PlacementInput,
) -> PlacementInput:
    centre = fleet.targets[0].data_centre
    homes = assign_homes(fleet.models, fleet.targets).by_model
    local = fleet._replace(
        models=tuple(
            need._replace(demand=need.demand / len(homes[need.key.model]))
            for need in fleet.models
            if centre in homes[need.key.model]
        ),
        targets=tuple(
            room for room in fleet.targets if room.data_centre == centre
        ),
    )
    holdings = policy.plan(local).holdings
    return fleet._replace(
        targets=tuple(
            room._replace(held=holdings.get(room.name, frozenset()))
            for room in fleet.targets
        ),
    )


def _change_demand(
    fleet: PlacementInput,
    planned: PlacementInput,
    seed: int,
) -> PlacementInput:
    generator = random.Random(seed)
    return planned._replace(
        models=tuple(
            need._replace(
                demand=need.demand * generator.uniform(*_DEMAND_CHANGE)
            )
            for need in fleet.models
        ),
    )


if __name__ == '__main__':
    cli()
