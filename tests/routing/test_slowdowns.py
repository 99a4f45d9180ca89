"""Tests of the slowdown estimate and of its use in choosing a target."""

import math
import random

import pytest

from cassiarail.routing.earliest import Candidate, EarliestStartSelector
from cassiarail.routing.slowdowns import SlowdownTracker

SLOTS = 6


def record_for(tracker, instance, readings, *, until=60.0, every_s=0.05):
    """Report the readings in turn until a time; return that time."""
    for number in range(int(until / every_s)):
        reading = readings[number % len(readings)]
        tracker.record(instance, reading, number * every_s)
    return until


def test_an_unknown_machine_works_as_usual():
    estimate = SlowdownTracker().estimate('a', 5.0)
    assert estimate == (1.0, 0, math.inf)


def test_a_new_reading_counts_in_full_and_fades_to_the_usual():
    tracker = SlowdownTracker()
    tracker.record('a', 3.0, 10.0)
    assert tracker.estimate('a', 10.0).mean == pytest.approx(3.0)
    later = tracker.estimate('a', 15.0)
    assert later.mean == pytest.approx(1.0, abs=0.1)
    assert later.age_s == pytest.approx(5.0)


def test_an_old_reading_fades_to_the_mean_and_spread_of_its_machine():
    tracker = SlowdownTracker()
    now = record_for(tracker, 'a', [1.5, 2.5])
    tracker.record('a', 6.0, now)
    assert tracker.estimate('a', now).spread == 0
    later = tracker.estimate('a', now + 5)
    assert later.mean == pytest.approx(2.0, abs=0.1)
    assert later.spread == pytest.approx(0.5, abs=0.15)


def test_a_burst_of_responses_counts_as_one_reading():
    tracker = SlowdownTracker()
    now = record_for(tracker, 'a', [1.0])
    for _ in range(200):
        tracker.record('a', 9.0, now)
    assert tracker.estimate('a', now + 5).mean < 1.2


@pytest.mark.parametrize('reading', [1e9, 1e-9])
def test_an_absurd_reading_is_bounded(reading):
    tracker = SlowdownTracker()
    tracker.record('a', reading, 0)
    assert 0.099 < tracker.estimate('a', 0).mean < 20.001


def test_a_clock_reading_from_the_past_is_harmless():
    tracker = SlowdownTracker()
    tracker.record('a', 2.0, 10.0)
    tracker.record('a', 3.0, 9.0)
    assert tracker.estimate('a', 8.0) == (pytest.approx(3.0), 0, 0)


def test_only_retained_machines_are_remembered():
    tracker = SlowdownTracker()
    tracker.record('a', 2.0, 0)
    tracker.record('b', 2.0, 0)
    tracker.retain(['b', 'c'])
    assert tracker.estimate('a', 0).mean == 1.0
    assert tracker.estimate('b', 0).mean == 2.0


def choose_often(selector, candidates, now=0, times=50):
    """Return the instances that are chosen."""
    return {selector.choose(candidates, now).instance for _ in range(times)}


def test_a_fast_machine_is_chosen_until_its_load_outweighs_its_speed():
    selector = EarliestStartSelector(random.Random(1))
    slow, fast = Candidate('slow', SLOTS, True), Candidate('fast', SLOTS, True)
    selector.slowdowns.record('slow', 2.0, 0)
    selector.slowdowns.record('fast', 1.0, 0)
    assert choose_often(selector, [slow, fast]) == {'fast'}
    selector.find_usage('fast').own = 4
    assert choose_often(selector, [slow, fast]) == {'slow'}


def test_targets_without_the_figure_are_chosen_by_their_load_alone():
    selector = EarliestStartSelector(random.Random(1))
    candidates = [Candidate('a', 2, True), Candidate('b', 12, True)]
    selector.find_usage('b').own = 1
    assert choose_often(selector, candidates) == {'a'}


def simulate_wait(seed, *, reports_slowdown):
    """Return the mean time of requests at machines whose speed changes."""
    generator = random.Random(seed)
    selector = EarliestStartSelector(random.Random(seed))
    candidates = [Candidate(str(each), SLOTS, True) for each in range(4)]
    speeds = {each.instance: 1.0 for each in candidates}
    running = []
    times = []
    now = 0.0
    for _ in range(4000):
        now += generator.expovariate(90)
        for name in [each for each in running if each[0] <= now]:
            running.remove(name)
            selector.find_usage(name[1]).own -= 1
        for name in speeds:
            if generator.random() < 0.04:
                speeds[name] = generator.choice((0.8, 0.9, 1.0, 2.5))
        chosen = selector.choose(candidates, now).instance
        usage = selector.find_usage(chosen)
        usage.own += 1
        time_s = 0.1 * speeds[chosen] * (0.5 + usage.own / SLOTS)
        times.append(time_s)
        running.append((now + time_s, chosen))
        if reports_slowdown:
            selector.slowdowns.record(chosen, speeds[chosen], now)
    return sum(times) / len(times)


@pytest.mark.parametrize('seed', range(3))
def test_callers_wait_less_where_the_slowdown_is_known(seed):
    known = simulate_wait(seed, reports_slowdown=True)
    assert known < 0.95 * simulate_wait(seed, reports_slowdown=False)
