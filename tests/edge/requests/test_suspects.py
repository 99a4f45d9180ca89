"""Test that all hosts refuse a request that crashes engines."""

from cassiarail.core.clock import ManualClock
from cassiarail.edge.requests.suspects import (
    CRASHES_TO_QUARANTINE,
    CrashSuspects,
)


def test_a_request_is_refused_after_three_crashes_seen_on_two_hosts():
    clock = ManualClock()
    local, remote = CrashSuspects(clock), CrashSuspects(clock)
    local.record('f', ('i', 1))
    remote.record('f', ('i', 2))
    remote.record('f', ('j', 1))
    for crash in remote.list_recent(10):
        local.record(crash.fingerprint, crash.target)
    assert local.is_quarantined(lambda: 'f')
    assert not local.is_quarantined(lambda: 'g')


def test_a_crash_reported_repeatedly_counts_once():
    suspects = CrashSuspects(ManualClock())
    for _each in range(CRASHES_TO_QUARANTINE):
        suspects.record('f', ('i', 1))
    assert not suspects.is_quarantined(lambda: 'f')


def test_old_crashes_are_not_listed():
    clock = ManualClock()
    suspects = CrashSuspects(clock)
    suspects.record('f', ('i', 1))
    clock.advance(11)
    assert not list(suspects.list_recent(10))
