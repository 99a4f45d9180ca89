"""Guard against violated guarantees and checks that miss violations."""

import asyncio
import ipaddress

import pytest

from tests.soak.behaviour import Records, make_events
from tests.soak.callers import KINDS, Call
from tests.soak.drill import Scale, play
from tests.soak.guarantees import find_violations
from tests.soak.loopback import find_address
from tests.soak.planned_work import PlannedRun
from tests.soak.stability import Arrival, Execution, FaultPeriod

FILE, READ, STREAM, RESUME = KINDS
# Seeds that reproduced a fault, each with its cause.
# 120: an order without a response arrived 0.7 s after it was sent, while the
# next leader counted from the time of sending.
# 301, 302, 304, 305: a stream went on at another engine while the one before
# stalled and still ran it.
# 450: a copy of a refusal was taken for the answer of an engine that had just
# restarted at its address.
REGRESSIONS = (120, 301, 302, 304, 305, 450)


def make_call(kind, status=200, body=None, *, is_complete=True, stamp='i.r1'):
    body = b'r1' if body is None else body
    headers = {'x-cassiarail-server-stamp': stamp} if stamp else {}
    return Call('r1', kind, 'h0', 0, 1, status, headers, body, is_complete)


def list_violated_rules(call, runs=1, orders=(), resumed=()):
    records = Records()
    records.runs['r1'] = runs
    records.orders.extend(orders)
    violations = find_violations([call], records, resumed)
    return sorted({line.split()[0] for line in violations})


def test_allowed_results_are_not_violations():
    stream = b''.join(make_events('r1'))
    assert list_violated_rules(make_call(FILE)) == []
    assert list_violated_rules(make_call(READ), runs=2) == []
    assert list_violated_rules(make_call(STREAM, body=stream)) == []
    assert (
        list_violated_rules(
            make_call(STREAM, body=stream[:50], is_complete=False)
        )
        == []
    )
    assert (
        list_violated_rules(make_call(FILE, 503, b'', stamp=''), runs=0) == []
    )
    assert list_violated_rules(make_call(FILE, 502, b'', stamp='')) == []


@pytest.mark.parametrize(
    ('call', 'runs', 'rule'),
    [
        (make_call(FILE), 2, 'TWICE'),
        (make_call(STREAM, body=b''.join(make_events('r1'))), 2, 'TWICE'),
        (make_call(FILE, 503, b'', stamp=''), 1, 'REFUSED'),
        (make_call(FILE, body=b'r2'), 1, 'MIXED'),
        (make_call(FILE, stamp=''), 1, 'MIXED'),
        (make_call(STREAM, body=b''.join(make_events('r2'))), 1, 'MIXED'),
        (make_call(STREAM, body=b''.join(make_events('r1')[:3])), 1, 'ORDER'),
        (make_call(STREAM, body=b''.join(make_events('r1')[1:])), 1, 'ORDER'),
        (make_call(RESUME, body=b''.join(make_events('r1') * 2)), 1, 'ORDER'),
    ],
)
def test_each_kind_of_violation_is_detected(call, runs, rule):
    assert rule in list_violated_rules(call, runs)


def test_late_requests_to_a_leaving_engine_are_detected():
    records = Records()
    call = make_call(READ)
    records.arrivals.append(Arrival('r1', 'e', 10, 12.1))
    (line,) = find_violations([call], records)
    assert line.startswith('DRAIN')
    for subject in ('h0', 'e', 'store'):
        period = FaultPeriod(subject, 6, 7.5)
        assert not find_violations([call], records, (), [period])
        period = FaultPeriod(subject, 5, 6.5)
        assert find_violations([call], records, (), [period])
    records.arrivals[:] = [Arrival('r1', 'e', 10, 11.9)]
    assert not find_violations([call], records)


def test_continued_work_for_disconnected_clients_is_detected():
    calls = [
        make_call(STREAM, 0, b'', is_complete=False)._replace(
            request_id=f'r{number}', ended_at=5, has_disconnected=True
        )
        for number in range(10)
    ]
    records = Records()
    for number in range(10):
        ended_at = 6 if number < 4 else 5.1
        records.executions.append(Execution(f'r{number}', 'e', 4, ended_at, 6))
    (line,) = find_violations(calls, records)
    assert line.startswith('GONE 4 of 10')
    period = FaultPeriod('h0', 4, 5)
    assert not find_violations(calls, records, (), [period])
    records.executions[0] = Execution('r0', 'e', 4, 5.4, 6)
    assert not find_violations(calls, records)


def test_overlapping_runs_of_a_request_are_detected():
    call = make_call(RESUME, body=b''.join(make_events('r1')))
    records = Records()
    records.executions.append(Execution('r1', 'e0', 4, 8.5, 8.5))
    records.executions.append(Execution('r1', 'e1', 8, 9, 9))
    (line,) = find_violations([call], records)
    assert line.startswith('TWICE')
    for subject in ('h0', 'e0'):
        period = FaultPeriod(subject, 4, 5.1)
        assert not find_violations([call], records, (), [period])
    records.executions[0] = Execution('r1', 'e0', 4, 8.4, 8.5)
    assert not find_violations([call], records)


def test_tainted_requests_after_five_crashes_are_detected():
    call = make_call(STREAM, 502, b'', stamp='')._replace(sent_at=11)
    records = Records()
    records.crashes['dead1'].extend(range(5))
    records.tainted.extend([('dead1', 'r1', 12)] * 4)
    (line,) = find_violations([call], records)
    assert line.startswith('BUDGET')
    assert not find_violations([call], records, (), [FaultPeriod('h0', 9, 10)])
    records.tainted.pop()
    assert not find_violations([call], records)
    records.tainted[:] = [('dead1', 'r1', 7)] * 9
    assert not find_violations([call], records)


def test_orders_of_two_leaders_at_once_are_detected():
    call = make_call(FILE)
    alternating = [(0, 'e', 'a', 1), (2.9, 'e', 'b', 2)]
    assert list_violated_rules(call, orders=alternating) == ['ONE']
    assert (
        list_violated_rules(call, orders=alternating, resumed=[('b', 2.8)])
        == []
    )
    separate = [(0, 'e', 'a', 1), (3.1, 'e', 'b', 2)]
    assert list_violated_rules(call, orders=separate) == []
    assert list_violated_rules(
        call, orders=[(0, 'e', 'a', 2), (9, 'e', 'b', 1)]
    ) == ['ONE']


def test_runs_have_distinct_loopback_addresses():
    # A run received the requests of another run that had bound its ports.
    addresses = {find_address(pid) for pid in range(1, 1 << 22, 97)}
    assert len(addresses) == len(range(1, 1 << 22, 97))
    assert all(
        ipaddress.ip_address(address).is_loopback for address in addresses
    )


@pytest.mark.parametrize('seed', [1, *REGRESSIONS])
def test_real_processes_uphold_the_guarantees(seed):
    scale = Scale(seconds=4, faults=4, per_s=15)
    report = asyncio.run(play(seed, scale))
    assert report.broken == []
    assert report.served


@pytest.fixture(scope='module')
def planned_report():
    scale = Scale(engines=8, seconds=2, faults=0, sessions=40, planned=2)
    return asyncio.run(play(611, scale, run_type=PlannedRun))


def test_planned_work_upholds_the_other_guarantees(planned_report):
    others = [
        line for line in planned_report.broken if not line.startswith('LOST')
    ]
    assert others == []
    assert planned_report.served


def test_planned_work_loses_no_request(planned_report):
    assert planned_report.broken == []
