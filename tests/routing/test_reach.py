"""Guard that requests don't pile up at targets that went dark."""

from cassiarail.core.clock import ManualClock
from cassiarail.core.events import EventSink, add_sink, remove_sink
from cassiarail.routing.reach import SILENT_S, ReachabilityTracker


class RecordingSink(EventSink):
    """Keep the events that are written."""

    def __init__(self):
        self.events = []

    def write(self, event, fields):
        self.events.append(event)


def make():
    clock = ManualClock()
    return ReachabilityTracker(clock), clock


def test_a_target_that_answers_is_never_lost():
    reach, clock = make()
    reach.begin('t')
    for _event in range(20):
        clock.advance(SILENT_S / 2)
        reach.record_activity('t')
        assert not reach.is_unreachable('t')


def test_an_idle_target_is_not_silent():
    # Silence means nothing while no request is outstanding.
    reach, clock = make()
    reach.begin('t')
    reach.record_activity('t')
    reach.end('t')
    clock.advance(60)
    assert not reach.is_unreachable('t')
    reach.begin('t')
    assert not reach.is_unreachable('t')


def test_a_silent_target_gets_one_probe_a_second():
    # Each request that was sent to a dark engine was lost to its caller.
    reach, clock = make()
    reach.begin('t')
    clock.advance(SILENT_S * 1.01)
    sent = 0
    for _tick in range(50):
        if reach.may_send('t'):
            reach.begin_probe('t')
            sent += 1
        clock.advance(0.1)
    assert 4 <= sent <= 5


def test_a_target_without_a_connection_is_left_until_the_next_probe():
    reach, clock = make()
    reach.record_connect_failure('t')
    assert reach.is_unreachable('t')
    assert not reach.may_send('t')
    clock.advance(1.01)
    assert reach.may_send('t')
    reach.begin_probe('t')
    assert not reach.may_send('t')
    reach.record_activity('t')
    assert reach.may_send('t')
    assert not reach.is_unreachable('t')


def test_a_loss_and_its_end_are_logged_once_each():
    # On-call engineers have only logs to tell a cut from an overload.
    reach, clock = make()
    sink = RecordingSink()
    seen = sink.events
    add_sink(sink)
    try:
        reach.begin('t')
        clock.advance(SILENT_S * 2)
        for _request in range(5):
            reach.may_send('t')
        reach.record_activity('t')
        reach.record_activity('t')
    finally:
        remove_sink(sink)
    assert [event.number for event in seen] == [2801, 2802]


def test_targets_that_are_gone_are_forgotten_when_unused():
    reach, _clock = make()
    reach.record_connect_failure('gone')
    reach.begin('used')
    reach.record_connect_failure('used')
    reach.retain([])
    assert not reach.is_unreachable('gone')
    assert reach.is_unreachable('used')
