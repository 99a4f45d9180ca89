"""Build, write and read the reports of runs."""

import pathlib
from collections.abc import Sequence
from typing import NamedTuple, cast

import msgspec
from typing_extensions import TypedDict

from cassiarail.core.checks import CheckMessage
from cassiarail.core.validation import CheckIds, DocumentChecker
from cassiarail.load.audit import Counters
from cassiarail.load.histograms import Latencies
from cassiarail.load.outcomes import Outcome
from cassiarail.load.scenario import ScenarioError

_P50 = 50
_P95 = 95
_P99 = 99
_CHECK_IDS = CheckIds(wrong_type='S075', unknown_key='S076', missing_key='S077')


class MeasuredDocument(TypedDict):
    """Define the figures that the load tool measures, and the labels."""

    first_token_seconds_p50: float
    first_token_seconds_p95: float
    first_token_seconds_p99: float
    inter_token_seconds_p95: float
    attainment: float
    attainment_per_accelerator: float
    seed: int
    policy: str
    faults: list[str]


class ReportDocument(MeasuredDocument):
    """Define the report of a run (docs/design.md, section 9).

    Every run has the same keys.
    """

    requests: int
    answered: int
    refused_not_run: int
    uncertain: int
    broken_streams: int
    misdelivered: int
    doubled: int
    lost: int
    not_run_but_ran: int
    overpromised_bytes_max: int
    unreachable_models: int
    late_new_work: int
    cut_by_planned_stop: int
    config_reverts: int
    config_seconds_max: float
    moves: int
    store_calls_per_second: float
    control_bytes_per_second_per_node: float
    control_cpu_share_per_node: float
    control_rss_bytes_per_node: int


class SystemFigures(NamedTuple):
    """Hold the figures that only the program that starts a run can measure.

    A figure that was not measured is 0.
    """

    config_reverts: int = 0
    config_seconds_max: float = 0
    moves: int = 0
    store_calls_per_second: float = 0
    control_bytes_per_second_per_node: float = 0
    control_cpu_share_per_node: float = 0
    control_rss_bytes_per_node: int = 0


class RunLabels(NamedTuple):
    """Hold the labels of a run; ``accelerators`` counts those in use."""

    seed: int
    policy: str
    accelerators: int
    faults: tuple[str, ...] = ()


def build_report(
    counters: Counters,
    outcomes: Sequence[Outcome],
    gaps: Latencies,
    labels: RunLabels,
    figures: SystemFigures | None = None,
) -> ReportDocument:
    """Return the report of a run.

    Requests that crash their engine are left out of the attainment, because
    no policy can complete them.
    """
    first_tokens = Latencies()
    for outcome in outcomes:
        if outcome.is_successful and outcome.first_token_s is not None:
            first_tokens.record(outcome.first_token_s)
    completable = sum(not each.planned.is_poisoned for each in outcomes)
    attainment = counters.on_time / max(1, completable)
    counts = counters._asdict()
    counts.pop('on_time')
    system = figures or SystemFigures()
    measured = MeasuredDocument(
        first_token_seconds_p50=first_tokens.percentile(_P50),
        first_token_seconds_p95=first_tokens.percentile(_P95),
        first_token_seconds_p99=first_tokens.percentile(_P99),
        inter_token_seconds_p95=gaps.percentile(_P95),
        attainment=attainment,
        attainment_per_accelerator=attainment / max(1, labels.accelerators),
        seed=labels.seed,
        policy=labels.policy,
        faults=list(labels.faults),
    )
    report = {**counts, **system._asdict(), **measured}
    return cast(ReportDocument, report)


def write_report(path: pathlib.Path, report: ReportDocument) -> None:
    """Write a report as indented JSON."""
    encoded = msgspec.json.format(msgspec.json.encode(report), indent=2)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(encoded)


def read_reports(path: pathlib.Path) -> list[ReportDocument]:
    """Return the report in a file, or all reports in a folder.

    Raises ``ScenarioError`` if there is none or one is malformed.
    """
    paths = sorted(path.glob('*.json')) if path.is_dir() else [path]
    if not paths:
        raise ScenarioError(
            [CheckMessage('S078', str(path), 'folder contains no reports')]
        )
    return [_read_report(entry) for entry in paths]


def _read_report(path: pathlib.Path) -> ReportDocument:
    try:
        document = msgspec.json.decode(path.read_bytes())
    except (OSError, msgspec.DecodeError) as error:
        message = CheckMessage('S078', str(path), str(error))
        raise ScenarioError([message]) from error
    checker = DocumentChecker(ReportDocument, _CHECK_IDS)
    problems = checker.check(document, str(path))
    if problems:
        raise ScenarioError(problems)
    report: ReportDocument = document
    return report
