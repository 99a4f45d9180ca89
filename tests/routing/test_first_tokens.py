"""Guard against choices that let callers wait where others are free.

The last tests play loads against the estimate, with small fakes of engines and
without a network, and check what callers get.
"""

import heapq
import random
from typing import NamedTuple

from cassiarail.routing.earliest import Candidate, EarliestStartSelector
from cassiarail.routing.first_tokens import (
    FirstTokenEstimator,
    Place,
    RequestSize,
    draw_candidates,
)
from cassiarail.routing.kept_prompts import KeptPrompts, list_beginnings

SIZE = RequestSize(500, 300)
SLOTS = 12
CAPACITY = 34_000
HOSTS = 30
ENGINES = 10
UNTIL_S = 20


def make_estimator(slowdowns=None):
    slowdowns = slowdowns or {}
    return FirstTokenEstimator(lambda name, _now: slowdowns.get(name, 1))


def place(name, **fields):
    return Place(name, 's', SLOTS, CAPACITY)._replace(**fields)


def seconds(estimator, name, size=SIZE, now=0, **fields):
    return estimator.estimate(place(name, **fields), size, now).seconds


def test_a_full_target_loses_to_a_free_one_that_must_read():
    # Fails if a kept beginning outweighs the queue before it.
    estimator = make_estimator()
    estimator.record_report('s', 'full', 13, 0)
    estimator.record_report('s', 'free', 3, 0)
    full = seconds(estimator, 'full', kept_tokens=500)
    assert full > seconds(estimator, 'free')


def test_a_kept_beginning_decides_between_free_targets():
    # Fails if what a target holds of the prompt doesn't count at all.
    estimator = make_estimator()
    kept = seconds(estimator, 'a', kept_tokens=400)
    assert kept < seconds(estimator, 'b')


def test_a_target_without_token_memory_loses():
    # Fails if only places count: twelve places hold fewer large requests.
    estimator = make_estimator()
    for _turn in range(5):
        estimator.begin('s', 'large', RequestSize(6000, 600))
        estimator.begin('s', 'small', RequestSize(100, 50))
    estimator.begin('s', 'small', RequestSize(100, 50))
    request = RequestSize(4000, 600)
    large = estimator.estimate(place('large'), request, 0)
    small = estimator.estimate(place('small'), request, 0)
    assert large.wait_s > 0.1
    assert small.wait_s < 0.01


def test_a_slow_machine_loses_between_equals():
    # Fails if the machine's speed isn't part of the estimate.
    estimator = make_estimator({'slow': 2.5})
    assert seconds(estimator, 'slow') > 2 * seconds(estimator, 'usual')


def test_own_requests_are_not_counted_as_those_of_others():
    # Fails if a report counts this host's requests a second time.
    estimator = make_estimator()
    for _turn in range(10):
        estimator.begin('s', 'a', SIZE)
    estimator.record_report('s', 'a', 10, 0)
    for _turn in range(10):
        estimator.end('a', SIZE)
    assert seconds(estimator, 'a') == seconds(estimator, 'b')


def test_an_old_report_gives_way_to_what_is_usual():
    # Fails if a target that was full stays avoided for ever.
    estimator = make_estimator()
    estimator.record_report('s', 'a', 30, 0)
    assert seconds(estimator, 'a', now=1) > seconds(estimator, 'b', now=1)
    assert seconds(estimator, 'a', now=9) == seconds(estimator, 'b', now=9)


def test_reading_speed_is_learned():
    # Fails if the estimate stays at its first assumption.
    estimator = make_estimator()
    speeds = estimator.speeds('s')
    generator = random.Random(5)
    for _turn in range(500):
        tokens = generator.randrange(50, 2000)
        speeds.record_reading(tokens, 0.01 + tokens / 5000)
    assert abs(speeds.estimate_reading(1000) - 0.21) < 0.02


class FakeEngine:
    """Run requests in places, with memory for tokens, one queue."""

    def __init__(self, slowdown):
        self.slowdown = slowdown
        self.running = []
        self.waiting = []
        self.kept = KeptPrompts()
        self.used = 0

    def offer(self, now, size, parts, request):
        self.waiting.append((now, size, parts, request))
        return self.start(now)

    def start(self, now):
        started = []
        while self.waiting and len(self.running) < SLOTS:
            _since, size, parts, request = self.waiting[0]
            if self.used + size.total > CAPACITY and self.running:
                break
            self.waiting.pop(0)
            self.used += size.total
            kept = self.kept.find(('e', 1), parts)
            self.kept.record(('e', 1), parts, CAPACITY - self.used)
            read_s = (size.prompt_tokens - kept) / 10_000
            first_at = now + self.slowdown * (0.02 + read_s)
            ends_at = first_at + self.slowdown * size.output_tokens * 0.005
            heapq.heappush(self.running, (ends_at, request))
            started.append((request, first_at, ends_at))
        return started


class FakeHost:
    """Choose as a host does, by the estimate or by the load alone."""

    def __init__(self, names, engines, generator, estimates):
        self.names = names
        self.engines = engines
        self.estimates = estimates
        self.kept = KeptPrompts()
        self.generator = generator
        self.selector = EarliestStartSelector(generator)
        self.estimator = FirstTokenEstimator(
            lambda name, _now: engines[name].slowdown
        )

    def choose(self, now, size, parts):
        if not self.estimates:
            candidates = [Candidate(name, SLOTS, True) for name in self.names]
            return self.selector.choose(candidates, now).instance
        drawn = draw_candidates(self.generator, self.names)
        places = [
            place(name, kept_tokens=self.kept.find((name, 1), parts))
            for name in drawn
        ]
        return self.estimator.choose(places, size, now).instance

    def begin(self, name, size):
        self.selector.find_usage(name).own += 1
        self.estimator.begin('s', name, size)

    def end(self, name, size, _now):
        self.selector.find_usage(name).own -= 1
        self.estimator.end(name, size)

    def hear(self, now, name, size, parts):
        engine = self.engines[name]
        total = len(engine.running) + len(engine.waiting)
        self.selector.find_usage(name).record_report(total, now)
        self.estimator.record_report('s', name, total, now)
        free = self.estimator.estimate_free_tokens(place(name), now)
        self.kept.record((name, 1), parts, int(free))


def play(estimates, seed, rate, make_host=FakeHost):
    """Return the times to the first token of all requests."""
    generator = random.Random(seed)
    engines = {
        f'e{number}': FakeEngine((0.6, 1, 1, 1.6)[number % 4])
        for number in range(ENGINES)
    }
    fleet = [
        make_host(tuple(engines), engines, generator, estimates)
        for _number in range(HOSTS)
    ]
    events = []
    now = 0
    number = 0
    while now < UNTIL_S:
        now += generator.expovariate(rate)
        number += 1
        events.append((now, number, 'come', None))
    heapq.heapify(events)
    facts = {}
    firsts = []

    def follow(name, started):
        for request, first_at, ends_at in started:
            heapq.heappush(events, (first_at, request, 'first', name))
            heapq.heappush(events, (ends_at, request, 'end', name))

    while events:
        now, request, kind, name = heapq.heappop(events)
        if kind == 'come':
            host = generator.choice(fleet)
            large = generator.random() < 0.15
            size = RequestSize(
                generator.randrange(2000, 6000) if large else 300,
                generator.randrange(50, 500),
            )
            shared = min(int(generator.paretovariate(0.8)), 40)
            parts = list_beginnings(
                ('m', ''),
                (f's{shared}', f'r{request}'),
                (200, size.prompt_tokens - 200),
            )
            name = host.choose(now, size, parts)
            host.begin(name, size)
            facts[request] = (now, host, size, parts)
            follow(name, engines[name].offer(now, size, parts, request))
            continue
        came_at, host, size, parts = facts[request]
        if kind == 'first':
            firsts.append(now - came_at)
            host.hear(now, name, size, parts)
            continue
        engine = engines[name]
        engine.running.remove((now, request))
        heapq.heapify(engine.running)
        engine.used -= size.total
        host.end(name, size, now)
        follow(name, engine.start(now))
    return firsts


def share_on_time(firsts):
    return sum(first <= 0.4 for first in firsts) / len(firsts)


def test_callers_get_first_tokens_in_time_more_often():
    # Fails if the estimate serves callers no better than the load alone:
    # engines of three speeds, large and small requests, hosts that see only
    # the reports to their own requests.
    for seed in range(5):
        by_load = share_on_time(play(False, seed, rate=62))
        by_estimate = share_on_time(play(True, seed, rate=62))
        assert by_estimate > by_load + 0.02


def test_no_one_is_served_worse_under_light_load():
    # Fails if a preference makes queues where none need be.
    for seed in range(3):
        by_load = share_on_time(play(False, seed, rate=25))
        assert share_on_time(play(True, seed, rate=25)) >= by_load


class ConnectedPlay(NamedTuple):
    """Hold shares of requests: with a reused connection, and on time."""

    reused: float
    on_time: float


class ConnectedHost(FakeHost):
    """Keep a connection to each engine for a second after a request."""

    prefers_connected = True

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.idle_since = {}
        self.sent = []

    @classmethod
    def play(cls, prefers_connected, seed):
        """Return what callers get, and how often connections are reused."""
        cls.prefers_connected = prefers_connected
        fleet = []
        firsts = play(
            True,
            seed,
            rate=62,
            make_host=lambda *arguments: (
                fleet.append(cls(*arguments)) or fleet[-1]
            ),
        )
        sent = [reused for host in fleet for reused in host.sent]
        return ConnectedPlay(sum(sent) / len(sent), share_on_time(firsts))

    def choose(self, now, size, parts):
        connected = [
            name for name, since in self.idle_since.items() if now - since < 1.0
        ]
        preferred = connected if self.prefers_connected else ()
        places = [
            place(
                name,
                kept_tokens=self.kept.find((name, 1), parts),
                is_connected=name in connected or not self.prefers_connected,
            )
            for name in draw_candidates(self.generator, self.names, preferred)
        ]
        name = self.estimator.choose(places, size, now).instance
        self.sent.append(name in connected)
        self.idle_since.pop(name, None)
        return name

    def end(self, name, size, now):
        super().end(name, size, now)
        self.idle_since[name] = now


def test_connections_are_reused_without_later_first_tokens():
    # Fails if each request opens a connection of its own: fleets with many
    # hosts send each engine a request every few seconds.
    for seed in range(3):
        any_two = ConnectedHost.play(False, seed)
        with_one = ConnectedHost.play(True, seed)
        assert with_one.reused > any_two.reused + 0.2
        assert with_one.on_time > any_two.on_time - 0.02
