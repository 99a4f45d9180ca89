"""Test the core types that every subpackage uses."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from typing_extensions import TypedDict

from cassiarail.core import exceptions
from cassiarail.core.backoff import Backoff
from cassiarail.core.clock import ManualClock
from cassiarail.core.deadline import Deadline
from cassiarail.core.events import list_events
from cassiarail.core.invariants import Invariants
from cassiarail.core.validation import CheckIds, DocumentChecker
from cassiarail.core.verdict import Verdict, combine_verdicts, parse_verdict


def _all_subclasses(kind):
    for child in kind.__subclasses__():
        yield child
        yield from _all_subclasses(child)


@given(st.lists(st.sampled_from(Verdict)))
def test_uncertain_attempt_determines_combined_verdict(verdicts):
    """Guard against a refused attempt hiding an earlier uncertain one."""
    combined = combine_verdicts(verdicts)
    assert (combined is Verdict.NOT_RUN) == all(
        verdict is Verdict.NOT_RUN for verdict in verdicts
    )


def test_unknown_verdict_header_is_no_verdict():
    """Guard against parsing an unknown header as not run."""
    assert parse_verdict('perhaps') is None
    assert parse_verdict(None) is None
    assert parse_verdict('not-run') is Verdict.NOT_RUN


def test_error_ids_are_unique():
    """Guard against two errors sharing an id in the docs."""
    ids = [
        kind.error_id for kind in _all_subclasses(exceptions.CassiarailError)
    ]
    assert len(ids) == len(set(ids))


def test_broken_invariant_refuses_the_action_and_counts():
    """Guard against actions that break an invariant unnoticed."""
    invariants = Invariants()
    invariants.require(True, 'memory')
    with pytest.raises(exceptions.InvariantError):
        invariants.require(False, 'memory', target='engine-1')
    assert invariants.broken == {'memory': 1}


def test_event_numbers_are_sorted_and_unique():
    """Guard against duplicate numbers in the event catalogue."""
    numbers = [event.number for event in list_events()]
    assert numbers == sorted(set(numbers))


@given(st.integers(0, 30), st.integers(0, 1000))
def test_backoff_stays_within_its_cap(attempt, seed):
    """Guard against unbounded delays after a long outage."""
    delay = Backoff(base_s=0.1, cap_s=2).delay(attempt, random.Random(seed))
    assert 0 <= delay <= 2


def test_deadline_counts_down_and_never_goes_negative():
    """Guard against a hop passing on more time than remains."""
    clock = ManualClock()
    deadline = Deadline.after(clock, 2)
    clock.advance(0.5)
    assert deadline.format_header(clock) == '1500'
    clock.advance(5)
    assert deadline.format_header(clock) == '0'
    assert deadline.has_expired(clock)


class _Inner(TypedDict):
    name: str


class _Outer(TypedDict):
    inner: list[_Inner]


def test_validation_reports_all_problems_with_paths():
    """Guard against reporting only the first of several problems."""
    checker = DocumentChecker(_Outer, CheckIds('T1', 'T2', 'T3'))
    problems = checker.check({'inner': [{'nane': 'x'}, {'name': 3}]})
    assert {(found.check_id, found.path) for found in problems} == {
        ('T1', '$.inner[1].name'),
        ('T2', '$.inner[0].nane'),
        ('T3', '$.inner[0].name'),
    }
    assert any("'name'" in found.hint for found in problems)
