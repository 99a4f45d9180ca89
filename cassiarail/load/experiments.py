"""Compare routing policies and limits in virtual time.

Usage: ``python -m cassiarail.load.experiments routing|overload --seeds N
--report FILE``. Each figure is a mean over the seeds with its 95% bootstrap
interval.
"""

import pathlib
import random
import statistics
from collections.abc import Callable, Iterable, Sequence
from typing import Annotated, Any

import msgspec
import typer

from cassiarail.core.loops import run_virtual
from cassiarail.load.simulated_fleet import (
    Outcome,
    Phase,
    Scenario,
    SimulatedFleet,
)
from cassiarail.routing.backends.affinity import AffinityPolicy
from cassiarail.routing.backends.base import RoutingPolicy
from cassiarail.routing.backends.least_loaded import LeastLoadedPolicy
from cassiarail.routing.backends.random import RandomPolicy
from cassiarail.routing.backends.round_robin import RoundRobinPolicy

PolicyFactory = Callable[[random.Random], RoutingPolicy]
Figures = dict[str, float]

POLICIES: dict[str, PolicyFactory] = {  # noqa: WPS407 - read only
    'random': RandomPolicy,
    'round_robin': lambda generator: RoundRobinPolicy(),
    'least_loaded': LeastLoadedPolicy,
    'affinity': AffinityPolicy,
    # Affinity without preferred targets is plain power of two choices.
    'two_choices': lambda generator: AffinityPolicy(
        generator, preferred_count=0
    ),
}
ROUTING_RATES = (20.0, 28.0, 36.0)
_ROUNDS = 4
_BASE_S = 10.0
_BASE_FACTOR = 0.8
_BURST_S = 5.0
_BURST_FACTOR = 1.4

# The highest rate of a sweep, in steps of four requests a second, at which the
# modelled fleet without limits completed 98% by the deadline.
CAPACITY = 36.0
MULTIPLES = (0.5, 1.0, 2.0, 5.0, 10.0)
_WARM_UP_S = 10.0
_OVERLOAD_S = 30.0
_OVERLOAD_TIMEOUT_S = 5.0
_RECOVERY_BASE_FACTOR = 0.7
_BEFORE_S = 15.0
_TENFOLD_S = 15.0
_AFTER_S = 60.0
_RECOVERED_SHARE = 0.95
_RECOVERED_SECONDS = 3

_RESAMPLES = 1000
_TAIL_QUANTILE = 0.025
# The constants of policies and limits were tuned on seeds below this one.
_FIRST_SEED = 100
_PERCENTILES = 100
_P95_INDEX = 94


def run_scenario(
    scenario: Scenario, create_policy: PolicyFactory
) -> list[Outcome]:
    """Run one scenario in virtual time and return its outcomes."""
    return run_virtual(_simulate, scenario, create_policy)


async def _simulate(
    scenario: Scenario,
    create_policy: PolicyFactory,
) -> list[Outcome]:
    policies = [
        create_policy(random.Random(f'{scenario.seed}/{number}'))
        for number in range(scenario.gateways)
    ]
    return await SimulatedFleet(scenario, policies).run()


def measure_routing(seed: int, rate: float, policy: str) -> Figures:
    """Return the figures of one policy at a mean arrival rate."""
    round_phases = (
        Phase(rate * _BASE_FACTOR, _BASE_S),
        Phase(rate * _BURST_FACTOR, _BURST_S),
    )
    phases = [phase for _ in range(_ROUNDS) for phase in round_phases]
    outcomes = run_scenario(Scenario(seed, phases), POLICIES[policy])
    first_tokens = [
        outcome.first_token_s
        for outcome in outcomes
        if outcome.first_token_s is not None
    ]
    return {
        'attainment': _compute_share(
            outcome.meets_objective for outcome in outcomes
        ),
        'first_token_seconds_p95': _find_p95(first_tokens),
        'prefix_hit_share': _compute_share(
            outcome.was_cached for outcome in outcomes
        ),
    }


def measure_overload(
    seed: int,
    multiple: float,
    *,
    with_limits: bool,
) -> Figures:
    """Return the rate of on-time responses at a multiple of capacity."""
    scenario = Scenario(
        seed,
        [
            Phase(CAPACITY * MULTIPLES[0], _WARM_UP_S),
            Phase(CAPACITY * multiple, _OVERLOAD_S),
        ],
        timeout_s=_OVERLOAD_TIMEOUT_S,
        with_limits=with_limits,
    )
    outcomes = [
        outcome
        for outcome in run_scenario(scenario, AffinityPolicy)
        if outcome.arrived_at >= _WARM_UP_S
    ]
    on_time = [outcome for outcome in outcomes if outcome.finished_s]
    attained = sum(outcome.meets_objective for outcome in outcomes)
    late = [
        outcome
        for outcome in outcomes
        if not outcome.finished_s and not outcome.was_refused
    ]
    return {
        'offered_per_second': len(outcomes) / _OVERLOAD_S,
        'on_time_per_second': len(on_time) / _OVERLOAD_S,
        'attained_per_second': attained / _OVERLOAD_S,
        'late_per_second': len(late) / _OVERLOAD_S,
    }


def measure_recovery(seed: int, *, with_limits: bool) -> Figures:
    """Return the seconds from a tenfold burst until responses are on time."""
    base = CAPACITY * _RECOVERY_BASE_FACTOR
    phases = [
        Phase(base, _BEFORE_S),
        Phase(base * MULTIPLES[-1], _TENFOLD_S),
        Phase(base, _AFTER_S),
    ]
    scenario = Scenario(
        seed,
        phases,
        timeout_s=_OVERLOAD_TIMEOUT_S,
        with_limits=with_limits,
    )
    outcomes = run_scenario(scenario, AffinityPolicy)
    ended_at = _BEFORE_S + _TENFOLD_S
    bins: dict[int, list[bool]] = {}
    for outcome in outcomes:
        second = int(outcome.arrived_at - ended_at)
        if outcome.arrived_at >= ended_at:
            bins.setdefault(second, []).append(outcome.finished_s is not None)
    return {'recovery_seconds': _find_recovery(bins)}


def _find_recovery(bins: dict[int, list[bool]]) -> float:
    """Return the first of three consecutive seconds that are on time."""
    shares = [
        _compute_share(bins.get(second, ())) for second in range(int(_AFTER_S))
    ]
    for second in range(len(shares) - _RECOVERED_SECONDS + 1):
        window = shares[second : second + _RECOVERED_SECONDS]
        if min(window) >= _RECOVERED_SHARE:
            return float(second)
    return _AFTER_S


def summarize(runs: Sequence[Figures]) -> dict[str, Any]:
    """Return the mean of each figure with its bootstrap interval."""
    generator = random.Random(0)
    return {
        name: _summarize_one([run[name] for run in runs], generator)
        for name in runs[0]
    }


def _summarize_one(
    samples: Sequence[float],
    generator: random.Random,
) -> dict[str, float]:
    means = sorted(
        statistics.fmean(generator.choices(samples, k=len(samples)))
        for _ in range(_RESAMPLES)
    )
    return {
        'mean': statistics.fmean(samples),
        'low': means[int(_RESAMPLES * _TAIL_QUANTILE)],
        'high': means[-1 - int(_RESAMPLES * _TAIL_QUANTILE)],
    }


def _list_seeds(count: int) -> range:
    return range(_FIRST_SEED, _FIRST_SEED + count)


def _compute_share(flags: Iterable[bool]) -> float:
    listed = list(flags)
    return sum(listed) / len(listed) if listed else 0


def _find_p95(samples: Sequence[float]) -> float:
    return statistics.quantiles(samples, n=_PERCENTILES)[_P95_INDEX]


application = typer.Typer(help=__doc__, add_completion=False)
Seeds = Annotated[int, typer.Option(help='Number of seeds.', min=2)]
ReportPath = Annotated[
    pathlib.Path | None, typer.Option(help='JSON file to write.')
]


@application.command()
def routing(seeds: Seeds = 10, report: ReportPath = None) -> None:
    """Compare the routing policies on the same seeds."""
    rows = []
    for rate in ROUTING_RATES:
        for policy in POLICIES:
            runs = [
                measure_routing(seed, rate, policy)
                for seed in _list_seeds(seeds)
            ]
            rows.append({'rate': rate, 'policy': policy, **summarize(runs)})
            _print_row(rows[-1])
    _write_report(report, {'seeds': seeds, 'rows': rows})


@application.command()
def overload(seeds: Seeds = 10, report: ReportPath = None) -> None:
    """Compare on-time responses with and without limits."""
    rows = []
    for with_limits in (False, True):
        for multiple in MULTIPLES:
            runs = [
                measure_overload(seed, multiple, with_limits=with_limits)
                for seed in _list_seeds(seeds)
            ]
            rows.append(
                {
                    'with_limits': with_limits,
                    'multiple': multiple,
                    **summarize(runs),
                }
            )
            _print_row(rows[-1])
        recoveries = [
            measure_recovery(seed, with_limits=with_limits)
            for seed in _list_seeds(seeds)
        ]
        rows.append({'with_limits': with_limits, **summarize(recoveries)})
        _print_row(rows[-1])
    _write_report(report, {'seeds': seeds, 'rows': rows})


def _print_row(row: dict[str, Any]) -> None:
    cells = [
        f'{name} {cell["mean"]:.3f} [{cell["low"]:.3f}, {cell["high"]:.3f}]'
        if isinstance(cell, dict)
        else f'{name} {cell}'
        for name, cell in row.items()
    ]
    typer.echo('; '.join(cells))


def _write_report(path: pathlib.Path | None, document: dict[str, Any]) -> None:
    if path is not None:
        path.write_bytes(msgspec.json.format(msgspec.json.encode(document)))


if __name__ == '__main__':
    application()
