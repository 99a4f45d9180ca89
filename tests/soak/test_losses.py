"""Guard against checks that miss requests lost around planned work."""

import pytest

from tests.soak.behaviour import Records
from tests.soak.callers import KINDS, Call
from tests.soak.guarantees import find_violations
from tests.soak.losses import PlannedWork, count_ends
from tests.soak.stability import FaultPeriod

FILE, READ, STREAM, RESUME = KINDS
STOP = PlannedWork('SIGTERM', 'h0', 10)
RELOAD = PlannedWork('SIGHUP', 'h0', 11)
CHANGE = PlannedWork('configuration', '', 10, time_limit_s=9)
# A stream that was passed on and cut 7.4 s after SIGTERM.
CUT = Call(
    'r1',
    STREAM,
    'h0',
    sent_at=11,
    ended_at=17.4,
    status=200,
    headers={'x-cassiarail-server-stamp': 'i.r1'},
    body=b'',
    is_complete=False,
    deadline_s=12,
    sent_whole_at=11.1,
)


def find_losses(call, plan, fault_periods=(), *, others=(), **seen):
    records = Records()
    records.runs.update({'r1': 1, 'r2': 1})
    records.receivers['r1'] = set(seen.get('engines', {'e'}))
    records.work['r1'] = seen.get('work', [])
    records.broken_off.update(seen.get('broken_off', ()))
    lines = find_violations(
        [call, *others], records, (), list(fault_periods), plan
    )
    return [line for line in lines if line.startswith('LOST')]


@pytest.mark.parametrize('work', [STOP, RELOAD])
def test_requests_cut_after_a_signal_are_detected(work):
    (line,) = find_losses(CUT, [work])
    assert line.startswith('LOST r1 at h0')
    assert find_losses(CUT._replace(was_reset=True), [work])
    assert not find_losses(CUT, [work._replace(host='h1')])
    assert not find_losses(CUT._replace(is_complete=True), [work])


def test_a_reload_concerns_only_requests_sent_until_it_applies():
    assert not find_losses(CUT, [RELOAD._replace(started_at=8.9)])
    assert not find_losses(CUT, [RELOAD._replace(started_at=17.5)])


@pytest.mark.parametrize(
    ('change', 'is_lost'),
    [
        # Not passed on, closed later than the slack after the last byte.
        ({'sent_whole_at': 17.1}, True),
        ({'sent_whole_at': 17.3}, False),
        # Bytes that the host never read reset the connection.
        ({'was_reset': True}, False),
        ({'sent_whole_at': None}, False),
    ],
)
def test_requests_that_no_engine_received_must_have_been_read(change, is_lost):
    call = CUT._replace(status=0, headers={}, **change)
    assert bool(find_losses(call, [STOP], engines=())) == is_lost


def test_a_request_behind_an_incomplete_response_is_not_lost():
    call = CUT._replace(status=0, headers={}, is_sent_ahead=True)
    assert find_losses(call, [STOP], engines=())
    call = call._replace(is_behind_cut=True)
    assert not find_losses(call, [STOP], engines=())


def test_allowed_ends_are_not_losses():
    assert not find_losses(CUT, [STOP], broken_off=['r1'])
    assert not find_losses(CUT._replace(deadline_s=6.4), [STOP])
    assert not find_losses(CUT._replace(has_disconnected=True), [STOP])
    limit = CHANGE._replace(time_limit_s=6.4)
    assert not find_losses(CUT, [limit, STOP])
    # A time limit that was replaced long before the request doesn't count.
    replaced = limit._replace(started_at=1)
    assert find_losses(CUT, [replaced, CHANGE._replace(started_at=8), STOP])


def test_work_excuses_a_cut_only_late_in_a_stop_and_for_early_requests():
    assert not find_losses(CUT, [STOP], work=[(12, 17.5)])
    assert find_losses(CUT, [STOP], work=[(12, 16.6)])
    assert find_losses(CUT, [STOP], work=[(12, 16), (17.41, 18)])
    late = CUT._replace(sent_at=13.1, sent_whole_at=13.1)
    assert find_losses(late, [STOP], work=[(14, 17.5)])


def test_unplanned_faults_excuse_a_cut_and_stops_do_not():
    for subject in ('h0', 'e', 'store'):
        period = FaultPeriod(subject, 7, 8.1)
        assert not find_losses(CUT, [STOP], [period])
        assert find_losses(CUT, [STOP], [period._replace(ended_at=7.9)])
        assert find_losses(CUT, [STOP], [period._replace(is_planned=True)])
    other = FaultPeriod('h1', 7, 8.1)
    assert find_losses(CUT, [STOP], [other])
    # Disruption of the store excuses nothing for plain repeatable requests.
    period = FaultPeriod('store', 7, 8.1)
    assert find_losses(CUT._replace(kind=READ), [STOP], [period])


def test_cuts_beside_a_configuration_count_if_they_are_frequent_then():
    call = CUT._replace(ended_at=14)
    (line,) = find_losses(call, [CHANGE])
    assert line.endswith('beside a configuration')
    # As frequent at other times.
    other = call._replace(request_id='r2', sent_at=30, ended_at=33)
    other = other._replace(sent_whole_at=30)
    assert not find_losses(call, [CHANGE], others=[other])
    # Seven tenths of the time were used.
    assert not find_losses(call._replace(ended_at=17.4), [CHANGE])
    assert not find_losses(call, [CHANGE._replace(started_at=7.9)])


def test_kept_connections_closed_after_passing_on_are_detected():
    call = CUT._replace(is_reused=True, ended_at=12, status=0, headers={})
    assert not find_losses(call, [], others=[call] * 2)
    # A response that has begun is an answer.
    begun = call._replace(status=200, headers=CUT.headers)
    assert not find_losses(begun, [], others=[call] * 3)
    (line,) = find_losses(call, [], others=[call] * 3)
    assert line.startswith('LOST 4 kept connections')


def test_ends_are_counted_by_their_time_in_a_stop():
    unread = CUT._replace(status=0, was_reset=True, ended_at=12.5)
    refused = CUT._replace(status=503, is_complete=True, ended_at=30)
    ends = count_ends([unread, refused], Records(), [STOP])
    assert ends == {
        '503 otherwise': 1,
        'reset, not passed on, 2 s into a stop': 1,
    }
