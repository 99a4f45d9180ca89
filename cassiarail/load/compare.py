"""Compare the reports of two policies or versions over the same seeds."""

import random
from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from cassiarail.load.report import ReportDocument

COMPARED = (
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
_DRAWS = 2000
_LOW_SHARE = 0.025
_HIGH_SHARE = 0.975


class Pair(NamedTuple):
    """Hold one figure of the first and of the second side."""

    first: float
    second: float


class Comparison(NamedTuple):
    """Compare one figure: the ratio of second to first, with an interval.

    ``low`` and ``high`` bound the 95 % bootstrap interval over seeds. All
    three are ``None`` where the first side is 0.
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
    """Return the comparison of each figure over the seeds of both sides."""
    left: Mapping[int, Mapping[str, Any]] = {
        report['seed']: report for report in first
    }
    right: Mapping[int, Mapping[str, Any]] = {
        report['seed']: report for report in second
    }
    common = sorted(left.keys() & right.keys())
    generator = random.Random(seed)
    return [
        _compare(
            name,
            [Pair(left[key][name], right[key][name]) for key in common],
            generator,
        )
        for name in COMPARED
        if common
    ]


def _compare(
    name: str,
    pairs: Sequence[Pair],
    generator: random.Random,
) -> Comparison:
    first = sum(pair.first for pair in pairs) / len(pairs)
    second = sum(pair.second for pair in pairs) / len(pairs)
    ratio = _ratio_of(pairs)
    if ratio is None:
        return Comparison(name, len(pairs), first, second, None, None, None)
    drawn = (
        _ratio_of(generator.choices(pairs, k=len(pairs)))
        for _draw in range(_DRAWS)
    )
    ratios = sorted(entry for entry in drawn if entry is not None)
    return Comparison(
        name,
        len(pairs),
        first,
        second,
        ratio,
        ratios[int(_LOW_SHARE * len(ratios))],
        ratios[int(_HIGH_SHARE * len(ratios))],
    )


def _ratio_of(pairs: Sequence[Pair]) -> float | None:
    total = sum(pair.first for pair in pairs)
    if not total:
        return None
    return sum(pair.second for pair in pairs) / total
