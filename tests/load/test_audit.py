"""Guard against violations that the audit doesn't count."""

import pytest

from cassiarail.core.clock import ManualClock
from cassiarail.core.verdict import Verdict
from cassiarail.load.audit import Audit, list_violations
from cassiarail.load.generator import PlannedRequest, RequestKind
from cassiarail.load.outcomes import Attempt, Outcome, ResponseFault
from cassiarail.standins.records import (
    CRASHED,
    CUT_BY_STOP,
    ExecutionRecords,
    omit_earlier,
)


def make_outcome(kind=RequestKind.STREAM, at=0.0, is_poisoned=False, **attempt):
    body = {'id': 'f1'}
    if kind.is_completion:
        body = {'model': 'm', 'messages': [{'content': f'{at}'}]}
    planned = PlannedRequest(0, at, kind, 'c', 'k', 'm', body, is_poisoned)
    settings = {'verdict': Verdict.RAN, 'is_complete': True, **attempt}
    return Outcome(planned, at, (Attempt('g1', at, at + 1, **settings),))


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def records(clock):
    return ExecutionRecords(clock)


def count(records, *outcomes):
    counters = Audit(outcomes, records).count(1, 1)
    return counters, list_violations(counters)


def fail(**attempt):
    settings = {'is_complete': False, 'verdict': Verdict.MAY_HAVE_RUN}
    return make_outcome(**{**settings, **attempt})


def test_audit_reports_no_violation_for_a_correct_run(records):
    records.record_filing('s1', '/filings', 'f1', 'r1', 'k1')
    counters, violations = count(
        records,
        make_outcome(),
        make_outcome(RequestKind.FILING),
        fail(verdict=Verdict.NOT_RUN, status=503, request_id='r9'),
        fail(),
    )
    assert violations == []
    assert counters.requests == 4
    assert counters.answered == 2
    assert counters.refused_not_run == 1
    assert counters.uncertain == 1


def test_broken_streams_are_counted_except_for_quarantined_poison(records):
    broken = {'fault': ResponseFault.BROKEN, 'error_code': 'quarantined'}
    counters, violations = count(
        records, fail(**broken), fail(is_poisoned=True, **broken)
    )
    assert violations == ['broken_streams']
    assert counters.broken_streams == 1


def test_misdelivered_responses_are_counted(records):
    misdelivered = fail(fault=ResponseFault.MISDELIVERED)
    assert count(records, misdelivered)[1] == ['misdelivered']


def test_repeated_writes_are_counted(records):
    for _ in range(3):
        records.record_filing('s1', '/filings', 'f1', 'r1', 'k1')
    counters, violations = count(records, make_outcome(RequestKind.FILING))
    assert violations == ['doubled']
    assert counters.doubled == 2


def test_confirmed_but_unwritten_filings_are_counted(records):
    assert count(records, make_outcome(RequestKind.FILING))[1] == ['lost']
    # The body was truncated, but the verdict header confirmed the run.
    truncated = fail(kind=RequestKind.FILING, verdict=Verdict.RAN)
    assert count(records, truncated)[1] == ['lost']


def test_requests_that_ran_after_a_not_run_verdict_are_counted(records):
    refused = fail(verdict=Verdict.NOT_RUN, request_id='r1')
    assert not count(records, refused)[1]
    records.record_run_start('e1', 'e1#1', 'r1', 'print')
    assert count(records, refused)[1] == ['not_run_but_ran']
    filing = fail(kind=RequestKind.FILING, verdict=Verdict.NOT_RUN)
    records.record_run_start('s1', 's1#1', 'another', 'f1')
    assert count(records, filing)[1] == ['not_run_but_ran']


def test_overcommitted_memory_is_counted(records):
    records.record_memory('e1', 'e1#1', 110, 100)
    assert count(records)[0].overpromised_bytes_max == 10


def test_unreachable_models_need_enough_failures_over_enough_time(records):
    failed = [fail(at=float(at)) for at in (1, 6, 12)]
    assert count(records, *failed)[1] == ['unreachable_models']
    between = make_outcome(at=5.0)
    assert not count(records, *failed, between)[1]
    busy = [fail(at=float(at), status=429) for at in (1, 6, 12)]
    assert not count(records, *busy)[1]


def test_new_work_for_a_leaving_target_is_counted(records, clock):
    records.record_departure('e1', 'e1#1')
    clock.advance(2.9)
    records.record_arrival('e1', 'e1#1', 'r1')
    assert not count(records)[1]
    clock.advance(0.2)
    records.record_arrival('e1', 'e1#1', 'r2')
    assert count(records)[1] == ['late_new_work']


def test_requests_interrupted_by_planned_stops_are_counted(records):
    crashed = records.record_run_start('e1', 'e1#1', 'r1', 'print')
    records.record_run_end(crashed, CRASHED)
    assert not count(records)[1]
    interrupted = records.record_run_start('e1', 'e1#1', 'r2', 'print2')
    records.record_run_end(interrupted, CUT_BY_STOP)
    assert count(records)[1] == ['cut_by_planned_stop']
    records.record_departure('g1', 'g1#1')
    broken = fail(fault=ResponseFault.BROKEN)
    assert count(records, broken)[0].cut_by_planned_stop == 2


def test_fence_orders_are_not_counted_as_moves(records):
    for number, kind in enumerate(('fence', 'load_model', 'load_model')):
        records.record_applied_order('e1', 'e1#1', f'o{number}', kind, 1)
    assert records.count_moves() == {'load_model': 2}


def test_records_are_equal_after_serialization(records, clock):
    number = records.record_run_start('e1', 'e1#1', 'r1', 'print')
    records.record_run_end(number, CUT_BY_STOP)
    records.record_run_start('e1', 'e1#1', 'r2', 'print')
    records.record_filing('s1', '/filings', 'f1', 'r1', 'k1')
    records.record_memory('e1', 'e1#1', 110, 100)
    records.record_departure('e1', 'e1#1')
    restored = ExecutionRecords.restore(clock, records.describe())
    assert restored.describe() == records.describe()
    assert len(list(restored.list_interrupted_runs())) == 1
    earlier = records.describe()
    records.record_run_start('e1', 'e1#1', 'r3', 'print')
    later = omit_earlier(records.describe(), earlier)
    assert [run['request_id'] for run in later['runs']] == ['r3']
    assert not later['filings']
