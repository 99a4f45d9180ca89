"""Guard that a request that crashes engines is stopped everywhere."""

from cassiarail.core.clock import ManualClock
from cassiarail.edge.suspects import CRASHES_TO_QUARANTINE, CrashSuspects


def test_a_request_is_refused_after_three_crashes_seen_on_two_hosts():
    clock = ManualClock()
    here, there = CrashSuspects(clock), CrashSuspects(clock)
    here.record('f', ('i', 1))
    there.record('f', ('i', 2))
    there.record('f', ('j', 1))
    for loss in there.list_recent(10):
        here.record(loss.fingerprint, loss.target)
    assert here.is_quarantined(lambda: 'f')
    assert not here.is_quarantined(lambda: 'g')


def test_one_crash_told_twice_counts_once():
    suspects = CrashSuspects(ManualClock())
    for _each in range(CRASHES_TO_QUARANTINE):
        suspects.record('f', ('i', 1))
    assert not suspects.is_quarantined(lambda: 'f')


def test_old_losses_are_not_told_again():
    clock = ManualClock()
    suspects = CrashSuspects(clock)
    suspects.record('f', ('i', 1))
    clock.advance(11)
    assert not list(suspects.list_recent(10))
