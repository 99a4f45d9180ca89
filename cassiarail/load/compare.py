"""Compare the reports of two policies or versions over the same seeds."""

import random
from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from cassiarail.load.report import ReportDocument

COMPARED_FIGURES = (
    'attainment',
    'attainment_per_accelerator',
    'answered',
    'moves',
    'first_token_seconds_p50',
    'first_token_seconds_p95',
    'first_token_seconds_p99',
    'inter_token_seconds_p95',
    'store_calls_per_second',
)
_RESAMPLES = 2000
_LOW_QUANTILE = 0.025
_HIGH_QUANTILE = 0.975


class Pair(NamedTuple):
    """Hold one figure from the first and the second set of reports."""

    first: float
    second: float


class Comparison(NamedTuple):
    """Compare one figure: the ratio of second to first, with an interval.

    ``low`` and ``high`` bound the 95 % bootstrap interval over seeds. The ratio
    and both bounds are ``None`` where the first figure is 0.
    """

    name: str
    seeds: int
    first: float
    second: float
    ratio: float | None
    low: float | None
    high: float | None


def compare_reports(
    first: Sequence[ReportDocument],
    second: Sequence[ReportDocument],
    seed: int = 1,
) -> list[Comparison]:
    """Compare each figure over the seeds that both sets of reports contain."""
    first_by_seed: Mapping[int, Mapping[str, Any]] = {
        report['seed']: report for report in first
    }
    second_by_seed: Mapping[int, Mapping[str, Any]] = {
        report['seed']: report for report in second
    }
    common = sorted(first_by_seed.keys() & second_by_seed.keys())
    generator = random.Random(seed)
    return [
        _compare(
            name,
            [
                Pair(first_by_seed[key][name], second_by_seed[key][name])
                for key in common
            ],
            generator,
        )
        for name in COMPARED_FIGURES
        if common
    ]


def _compare(
    name: str,
    pairs: Sequence[Pair],
    generator: random.Random,
) -> Comparison:
    first = sum(pair.first for pair in pairs) / len(pairs)
    second = sum(pair.second for pair in pairs) / len(pairs)
    ratio = _compute_ratio(pairs)
    if ratio is None:
        return Comparison(name, len(pairs), first, second, None, None, None)
    resampled = (
        _compute_ratio(generator.choices(pairs, k=len(pairs)))
        for _resample in range(_RESAMPLES)
    )
    ratios = sorted(entry for entry in resampled if entry is not None)
    return Comparison(
        name,
        len(pairs),
        first,
        second,
        ratio,
        ratios[int(_LOW_QUANTILE * len(ratios))],
        ratios[int(_HIGH_QUANTILE * len(ratios))],
    )


def _compute_ratio(pairs: Sequence[Pair]) -> float | None:
    total = sum(pair.first for pair in pairs)
    if not total:
        return None
    return sum(pair.second for pair in pairs) / total
