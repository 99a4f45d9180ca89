"""Test that hosts know the queues of targets that they seldom send to.

Answers to the load of a large fleet: 91 hosts send to 63 engines, and each
learnt of a queue only when its own request stood in it.
"""

import random

import pytest

from cassiarail.core.clock import ManualClock
from cassiarail.edge.fleet.load_exchange import LoadExchange
from cassiarail.edge.fleet.messages import LoadRow
from cassiarail.routing.first_tokens import (
    FirstTokenEstimator,
    Place,
    RequestSize,
)

SIZE = RequestSize(700, 300)


@pytest.fixture
def clock():
    return ManualClock()


def make_place(instance):
    return Place(instance, 's', 12, 0)


def make_host(clock):
    exchange = LoadExchange(clock)
    estimator = FirstTokenEstimator(lambda _instance, _now: 1.0)
    exchange.on_load = lambda instance, requests, age_s: (
        estimator.record_shared(instance, requests, clock.monotonic() - age_s)
    )
    return exchange, estimator


def test_a_host_avoids_a_queue_that_only_another_host_has_seen(clock):
    leader, _ = make_host(clock)
    witness, _ = make_host(clock)
    host, estimator = make_host(clock)
    witness.record('busy', 40)
    witness.record('free', 1)
    clock.advance(0.4)
    leader.receive(witness.list_own())
    clock.advance(0.4)
    host.receive(leader.list_all())
    places = [make_place('busy'), make_place('free')]
    for order in (places, places[::-1]):
        chosen = estimator.choose(order, SIZE, clock.monotonic())
        assert chosen.instance == 'free'


def test_an_own_report_goes_before_an_older_one_of_another_host(clock):
    host, estimator = make_host(clock)
    estimator.record_report('s', 'i', 2, clock.monotonic())
    before = estimator.estimate(make_place('i'), SIZE, clock.monotonic())
    host.receive([LoadRow('i', 90, 300)])
    after = estimator.estimate(make_place('i'), SIZE, clock.monotonic())
    assert before == after


def test_rows_that_arrive_out_of_order_change_nothing(clock):
    host, _ = make_host(clock)
    clock.advance(5)
    host.receive([LoadRow('i', 7, 100)])
    host.receive([LoadRow('i', 50, 900)])
    assert host.list_all() == [LoadRow('i', 7, 100)]


def test_old_loads_are_not_passed_on(clock):
    host, _ = make_host(clock)
    host.record('i', 3)
    clock.advance(2)
    assert host.list_all() == []
    assert host.list_own() == []


def test_a_load_is_reported_once(clock):
    host, _ = make_host(clock)
    host.record('i', 3)
    host.record('i', 4)
    assert host.list_own() == [LoadRow('i', 4, 0)]
    assert host.list_own() == []


def test_a_regular_update_stays_within_a_packet_of_the_known_fleets(clock):
    leader, _ = make_host(clock)
    generator = random.Random(1)
    for number in range(112):
        leader.record(f'i-{number:010x}', generator.randrange(40))
    rows = leader.list_all()
    assert len(rows) == 112
    assert sum(len(row.instance) + 6 for row in rows) < 2500


def test_the_newest_loads_of_a_large_fleet_are_passed_on(clock):
    leader, _ = make_host(clock)
    for number in range(1100):
        leader.record(f'i-{number}', 1)
        clock.advance(0.001)
    rows = leader.list_all()
    assert len(rows) == 256
    assert {row.instance for row in rows} == {
        f'i-{number}' for number in range(1100 - 256, 1100)
    }
