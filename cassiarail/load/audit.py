"""Compare the responses that callers received with what actually ran."""

import collections
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from cassiarail.core.events import emit_event
from cassiarail.core.verdict import Verdict
from cassiarail.load.events import GUARANTEE_VIOLATED
from cassiarail.load.outcomes import (
    QUARANTINED,
    Attempt,
    Outcome,
    ResponseFault,
)
from cassiarail.standins.records import ExecutionRecords

# A model whose requests all fail for this long counts as unreachable (P2).
UNREACHABLE_S = 10
_UNREACHABLE_REQUESTS = 3
_STATUS_TOO_MANY = 429


class Counters(NamedTuple):
    """Hold the counters of the audit; an upheld guarantee counts 0.

    The first five only classify requests: each is answered, refused as not
    run, or uncertain.
    """

    requests: int = 0
    answered: int = 0
    refused_not_run: int = 0
    uncertain: int = 0
    on_time: int = 0
    broken_streams: int = 0
    misdelivered: int = 0
    doubled: int = 0
    lost: int = 0
    not_run_but_ran: int = 0
    overpromised_bytes_max: int = 0
    unreachable_models: int = 0
    late_new_work: int = 0
    cut_by_planned_stop: int = 0


GUARANTEES = (
    'broken_streams',
    'misdelivered',
    'doubled',
    'lost',
    'not_run_but_ran',
    'overpromised_bytes_max',
    'unreachable_models',
    'late_new_work',
    'cut_by_planned_stop',
)


class Audit:
    """Count the guarantee violations of a run."""

    def __init__(
        self,
        outcomes: Sequence[Outcome],
        records: ExecutionRecords,
    ) -> None:
        self._outcomes = outcomes
        self._records = records
        self._run_ids = {run.request_id for run in records.runs}
        self._fingerprints = {run.fingerprint for run in records.runs}
        self._writes = collections.Counter(
            filing.record_id for filing in records.filings
        )

    def count(self, first_token_s: float, inter_token_s: float) -> Counters:
        """Return all counters; ``on_time`` applies the latency objective."""
        outcomes = self._outcomes
        counters = Counters(
            requests=len(outcomes),
            answered=_count(each.is_successful for each in outcomes),
            refused_not_run=_count(map(_is_refused, outcomes)),
            uncertain=_count(map(_is_uncertain, outcomes)),
            on_time=_count(
                each.meets(first_token_s, inter_token_s) for each in outcomes
            ),
            broken_streams=_count(map(_is_broken, outcomes)),
            misdelivered=_count(map(_is_misdelivered, outcomes)),
            doubled=self.count_doubled(),
            lost=_count(map(self.is_unwritten, outcomes)),
            not_run_but_ran=_count(map(self.ran_after_refusal, outcomes)),
            overpromised_bytes_max=self._records.find_overcommitted_bytes_max(),
            unreachable_models=len(list_unreachable(outcomes)),
            late_new_work=len(self._records.list_late_arrivals()),
            cut_by_planned_stop=self.count_interrupted(),
        )
        report_violations(counters)
        return counters

    def count_doubled(self) -> int:
        """Return the number of duplicate writes of filings and payments."""
        return sum(count - 1 for count in self._writes.values())

    def is_unwritten(self, outcome: Outcome) -> bool:
        """Return whether a confirmed filing was never written."""
        if outcome.planned.kind.is_completion:
            return False
        confirmed = any(
            attempt.is_complete or attempt.verdict is Verdict.RAN
            for attempt in outcome.attempts
        )
        return confirmed and not self._writes[outcome.planned.body['id']]

    def ran_after_refusal(self, outcome: Outcome) -> bool:
        """Return whether a request ran although it was reported as not run."""
        reported = [
            attempt
            for attempt in outcome.attempts
            if attempt.verdict is Verdict.NOT_RUN
        ]
        if any(attempt.request_id in self._run_ids for attempt in reported):
            return True
        if len(reported) < len(outcome.attempts):
            return False
        return outcome.planned.fingerprint in self._fingerprints

    def count_interrupted(self) -> int:
        """Return the number of requests interrupted by a planned stop."""
        stops = [
            (departure.name, departure.began_at)
            for departure in self._records.departures
        ]
        interrupted_attempts = _count(
            _is_interrupted(attempt, stops)
            for outcome in self._outcomes
            for attempt in outcome.attempts
        )
        return interrupted_attempts + _count(
            self._records.list_interrupted_runs()
        )


def list_unreachable(outcomes: Iterable[Outcome]) -> list[str]:
    """Return the models whose requests all failed for too long.

    Requests refused because of load (429) are ignored, and so are requests
    that crash their engine.
    """
    by_model = collections.defaultdict(list)
    for outcome in sorted(outcomes, key=lambda entry: entry.intended_at):
        is_counted = outcome.planned.model and not outcome.planned.is_poisoned
        if is_counted and outcome.last.status != _STATUS_TOO_MANY:
            by_model[outcome.planned.model].append(outcome)
    return [
        model
        for model, model_outcomes in by_model.items()
        if _has_outage(model_outcomes)
    ]


def list_violations(counters: Counters) -> list[str]:
    """Return the names of the guarantees whose counters are not 0."""
    counts = counters._asdict()
    return [name for name in GUARANTEES if counts[name]]


def report_violations(counters: Counters) -> None:
    """Log each guarantee that was violated."""
    counts = counters._asdict()
    for name in list_violations(counters):
        emit_event(GUARANTEE_VIOLATED, counter=name, count=counts[name])


def _has_outage(outcomes: Sequence[Outcome]) -> bool:
    """Return whether consecutive failures span ``UNREACHABLE_S`` or more.

    A model without any successful request needs only the number of failures.
    """
    failed: list[float] = []
    for outcome in outcomes:
        if outcome.is_successful:
            failed = []
            continue
        failed.append(outcome.intended_at)
        is_long = failed[-1] - failed[0] >= UNREACHABLE_S
        if is_long and len(failed) >= _UNREACHABLE_REQUESTS:
            return True
    has_enough = len(failed) >= _UNREACHABLE_REQUESTS
    return has_enough and len(failed) == len(outcomes)


def _is_refused(outcome: Outcome) -> bool:
    return not outcome.is_successful and outcome.verdict is Verdict.NOT_RUN


def _is_uncertain(outcome: Outcome) -> bool:
    return not outcome.is_successful and outcome.verdict is not Verdict.NOT_RUN


def _is_broken(outcome: Outcome) -> bool:
    """Return whether the last response had missing or repeated tokens.

    Only a request that crashes engines may be quarantined, so only such a
    request is exempt.
    """
    if outcome.planned.is_poisoned and (outcome.last.error_code == QUARANTINED):
        return False
    return outcome.last.fault is ResponseFault.BROKEN


def _is_misdelivered(outcome: Outcome) -> bool:
    return any(
        attempt.fault is ResponseFault.MISDELIVERED
        for attempt in outcome.attempts
    )


def _is_interrupted(
    attempt: Attempt, stops: Sequence[tuple[str, float]]
) -> bool:
    """Return whether a planned stop of the gateway interrupted an attempt.

    An attempt that started later belongs to the next instance, which may
    crash.
    """
    may_have_run = attempt.verdict is not Verdict.NOT_RUN
    if not may_have_run or attempt.is_complete or attempt.error_code:
        return False
    return any(
        name == attempt.gateway
        and attempt.started_at <= began_at <= attempt.ended_at
        for name, began_at in stops
    )


def _count(found: Iterable[object]) -> int:
    return sum(1 for entry in found if entry)
