"""Guard against requests piling up at unresponsive targets."""

from cassiarail.core.clock import ManualClock
from cassiarail.core.events import EventSink, add_sink, remove_sink
from cassiarail.routing.reachability import (
    UNRESPONSIVE_AFTER_S,
    ReachabilityTracker,
)


class RecordingSink(EventSink):
    """Record the events that are written."""

    def __init__(self):
        self.events = []

    def write(self, event, fields):
        self.events.append(event)


def make_tracker():
    clock = ManualClock()
    return ReachabilityTracker(clock), clock


def test_a_responding_target_is_never_unreachable():
    tracker, clock = make_tracker()
    tracker.begin('t')
    for _event in range(20):
        clock.advance(UNRESPONSIVE_AFTER_S / 2)
        tracker.record_activity('t')
        assert not tracker.is_unreachable('t')


def test_an_idle_target_is_not_unresponsive():
    # Idle time counts only while a request is outstanding.
    tracker, clock = make_tracker()
    tracker.begin('t')
    tracker.record_activity('t')
    tracker.end('t')
    clock.advance(60)
    assert not tracker.is_unreachable('t')
    tracker.begin('t')
    assert not tracker.is_unreachable('t')


def test_an_unresponsive_target_gets_one_probe_per_second():
    # Each request sent to a suspended engine failed for its caller.
    tracker, clock = make_tracker()
    tracker.begin('t')
    clock.advance(UNRESPONSIVE_AFTER_S * 1.01)
    sent = 0
    for _tick in range(50):
        if tracker.may_send('t'):
            tracker.begin_probe('t')
            sent += 1
        clock.advance(0.1)
    assert 4 <= sent <= 5


def test_a_target_without_a_connection_gets_no_request_but_the_probe():
    tracker, clock = make_tracker()
    tracker.record_connect_failure('t')
    assert tracker.is_unreachable('t')
    assert not tracker.may_send('t')
    clock.advance(1.01)
    assert tracker.may_send('t')
    tracker.begin_probe('t')
    assert not tracker.may_send('t')
    tracker.record_activity('t')
    assert tracker.may_send('t')
    assert not tracker.is_unreachable('t')


def test_an_outage_and_its_end_are_logged_once_each():
    # On-call engineers need the logs to distinguish a partition from overload.
    tracker, clock = make_tracker()
    sink = RecordingSink()
    seen = sink.events
    add_sink(sink)
    try:
        tracker.begin('t')
        clock.advance(UNRESPONSIVE_AFTER_S * 2)
        for _request in range(5):
            tracker.may_send('t')
        tracker.record_activity('t')
        tracker.record_activity('t')
    finally:
        remove_sink(sink)
    assert [event.number for event in seen] == [2801, 2802]


def test_removed_targets_are_dropped_when_unused():
    tracker, _clock = make_tracker()
    tracker.record_connect_failure('removed')
    tracker.begin('used')
    tracker.record_connect_failure('used')
    tracker.retain([])
    assert not tracker.is_unreachable('removed')
    assert tracker.is_unreachable('used')
