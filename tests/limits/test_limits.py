"""Guard against starvation, unbounded queues and retry storms."""

import pytest

from cassiarail.core.clock import ManualClock
from cassiarail.core.deadline import Deadline
from cassiarail.limits.admission import AdmissionEstimator
from cassiarail.limits.concurrency import (
    ConcurrencyLimit,
    ConcurrencyLimits,
    ConcurrencyRules,
)
from cassiarail.limits.exceptions import FairShareError, OverloadedError
from cassiarail.limits.fairness import FairQueue, Pool
from cassiarail.limits.retry_tokens import RetryTokens

POOL = Pool(('a', 'b'))


def drain(queue, count, pools=(POOL,)):
    return [queue.pop(pools).caller for _ in range(count)]


def test_limit_follows_latency_and_drops_once_per_cooldown():
    clock = ManualClock()
    rules = ConcurrencyRules(latency_target_s=0.48, initial=10)
    limit = ConcurrencyLimit(clock, rules)
    for _ in range(10):
        limit.acquire()
    for _ in range(50):
        limit.record_latency(0.1)
    raised_limit = limit.limit
    assert raised_limit > 10
    for _ in range(50):
        limit.record_latency(0.6)
    assert raised_limit * 0.75 < limit.limit < raised_limit
    for _ in range(100):
        clock.advance(1)
        limit.record_overload()
    assert limit.limit == 1


def test_idle_target_does_not_raise_its_limit():
    limit = ConcurrencyLimit(ManualClock(), ConcurrencyRules(initial=10))
    for _ in range(1000):
        limit.record_latency(0.1)
    assert limit.limit == 10


def test_a_flood_of_one_caller_does_not_delay_the_others():
    weights = {'heavy': 2.0}
    queue = FairQueue(ManualClock(), lambda name: weights.get(name, 1))
    for turn in range(300):
        queue.push('flood', 5, POOL, turn)
    for turn in range(40):
        queue.push('heavy', 5, POOL, turn)
        queue.push('small', 5, POOL, turn)
    served = drain(queue, 80)
    assert served.count('heavy') == 40
    assert served.count('small') == 20


def test_high_priorities_do_not_starve_the_lowest():
    clock = ManualClock()
    queue = FairQueue(clock, ageing_s=1)
    queue.push('low', 0, POOL, 0)
    for turn in range(30):
        queue.push('high', 9, POOL, turn)
        clock.advance(0.5)
        if queue.pop((POOL,)).caller == 'low':
            break
    assert 15 <= turn <= 20


def test_a_busy_pool_does_not_block_the_other_pools():
    # Fails if a saturated model causes head-of-line blocking.
    queue = FairQueue(ManualClock())
    queue.push('x', 5, Pool(('busy',)), 0)
    queue.push('x', 5, POOL, 1)
    assert queue.pop((POOL,)).payload == 1
    assert queue.pop((POOL,)) is None
    assert len(queue) == 1


def make_estimator(clock):
    limits = ConcurrencyLimits(clock, ConcurrencyRules(initial=5))
    for name in POOL.names:
        limits.find(name).record_service(1)
        for _ in range(5):
            limits.find(name).acquire()
    queue = FairQueue(clock)
    return queue, AdmissionEstimator(clock, limits, queue)


def test_admission_refuses_requests_that_would_be_late():
    # Ten requests complete per second, each after one second.
    clock = ManualClock()
    queue, estimator = make_estimator(clock)
    for turn in range(30):
        queue.push('flood', 5, POOL, turn)
    deadline = Deadline.after(clock, 4)
    with pytest.raises(OverloadedError) as refusal:
        estimator.check_new('flood', 5, deadline, POOL)
    assert refusal.value.status == 503
    assert 0.1 <= refusal.value.retry_after_s <= 2
    estimator.check_new('other', 5, deadline, POOL)
    estimator.check_new('flood', 9, deadline, POOL)
    queue.push('other', 5, POOL, 0)
    with pytest.raises(FairShareError):
        estimator.check_new('flood', 5, deadline, POOL)


def test_admission_refuses_without_targets():
    clock = ManualClock()
    _, estimator = make_estimator(clock)
    with pytest.raises(OverloadedError):
        estimator.check_new('x', 5, Deadline.after(clock, 4), Pool(()))


def test_retries_do_not_multiply_the_load_while_all_requests_fail():
    clock = ManualClock()
    tokens = RetryTokens(clock, share=0.125, floor_per_s=0.2, burst=10)
    assert sum(tokens.try_spend() for _ in range(100)) == 1
    for _ in range(40):
        tokens.record_success()
    assert sum(tokens.try_spend() for _ in range(100)) == 5
    clock.advance(10)
    assert sum(tokens.try_spend() for _ in range(100)) == 2


def test_freed_slot_is_reserved_for_requests_that_prefer_it():
    # Fails if overload spreads each prefix over all caches.
    clock = ManualClock()
    rules = ConcurrencyRules(initial=1, reservation_s=0.3)
    limits = ConcurrencyLimits(clock, rules)
    other_pool = Pool(('a',), ('b',))
    assert limits.list_free(other_pool) == ['a']
    limits.find('a').acquire()
    limits.find('a').release()
    assert limits.list_free(other_pool) == []
    assert limits.list_free(Pool(('a',), ('a',))) == ['a']
    assert limits.list_free(Pool(('a',))) == ['a']
    clock.advance(0.3)
    assert limits.list_free(other_pool) == ['a']
