"""Test that slots are released and no request is admitted too late."""

import random

import anyio
import pytest

from cassiarail.core.clock import LoopClock
from cassiarail.core.deadline import Deadline
from cassiarail.core.loops import run_virtual
from cassiarail.gateway.admission_queue import AdmissionQueue
from cassiarail.limits.concurrency import ConcurrencyRules
from cassiarail.limits.exceptions import OverloadedError
from cassiarail.limits.fairness import Pool


class QueueLoad:
    """Send requests of one second each to one target."""

    def __init__(self, slots=2):
        self.clock = LoopClock()
        rules = ConcurrencyRules(initial=slots, maximum=slots)
        self.queue = AdmissionQueue(self.clock, concurrency=rules)
        self.outcomes = []

    async def send(self, timeout_s, seconds=1, caller='x'):
        deadline = Deadline.after(self.clock, timeout_s)
        try:
            async with self.queue.admit(caller, 5, deadline, ['a']):
                await self.clock.sleep(seconds)
        except OverloadedError:
            self.outcomes.append('refused')
        else:
            is_late = deadline.has_expired(self.clock)
            self.outcomes.append('late' if is_late else 'on time')

    @property
    def in_flight(self):
        return self.queue.limits.find('a').in_flight


def test_tenfold_load_is_served_at_capacity_and_never_late():
    # 2 requests per second complete; 20 per second arrive for 10 seconds.
    async def scenario():
        load = QueueLoad()
        async with anyio.create_task_group() as group:
            for _ in range(200):
                group.start_soon(load.send, 4.1)
                await load.clock.sleep(0.05)
        assert set(load.outcomes) == {'on time', 'refused'}
        assert load.outcomes.count('on time') >= 20
        assert load.in_flight == 0
        assert load.queue.queued == 0

    run_virtual(scenario)


def test_cancelled_requests_release_their_slots():
    # Fails if a caller that disconnects while waiting leaks a slot.
    async def scenario():
        load = QueueLoad(slots=1)
        async with anyio.create_task_group() as group:
            for _ in range(5):
                group.start_soon(load.send, 60, 1)
            await load.clock.sleep(0.5)
            group.cancel_scope.cancel()
        assert load.in_flight == 0
        assert load.queue.queued == 0
        await load.send(5)
        assert load.outcomes == ['on time']

    run_virtual(scenario)


def test_failures_release_the_slot():
    async def scenario():
        load = QueueLoad(slots=1)
        deadline = Deadline.after(load.clock, 5)

        async def fail():
            async with load.queue.admit('x', 5, deadline, ['a']) as permit:
                permit.move('b')
                raise ZeroDivisionError

        with pytest.raises(ZeroDivisionError):
            await fail()
        assert load.queue.limits.list_free(Pool(('a', 'b'))) == ['a', 'b']

    run_virtual(scenario)


def test_short_deadlines_recover_after_long_requests():
    # Fails if an estimate from long requests refuses short ones forever.
    async def scenario():
        load = QueueLoad(slots=1)
        await load.send(100, 50)
        await load.send(2, 0.1)
        assert load.outcomes == ['on time', 'on time']

    run_virtual(scenario)


def test_error_of_choose_fails_only_its_own_request():
    # Fails if the request that releases a slot receives another's error.
    async def scenario():
        load = QueueLoad(slots=1)
        errors = []

        def choose(names):
            raise LookupError

        async def send_failing():
            deadline = Deadline.after(load.clock, 9)
            try:
                async with load.queue.admit('y', 5, deadline, ['a'], choose):
                    errors.append('admitted')
            except LookupError:
                errors.append('failed')

        async with anyio.create_task_group() as group:
            group.start_soon(load.send, 9)
            await load.clock.sleep(0.1)
            group.start_soon(send_failing)
        assert errors == ['failed']
        assert load.outcomes == ['on time']
        assert load.in_flight == 0

    run_virtual(scenario)


def test_random_load_leaks_no_slots_or_queue_entries():
    # Fails if a cancellation leaks a slot or a queue entry, or if a limit is
    # exceeded.
    async def scenario():
        load = QueueLoad(slots=2)
        generator = random.Random(5)
        names = ('a', 'b', 'c')

        async def send():
            pool = generator.sample(names, generator.randint(1, 3))
            timeout_s = generator.uniform(0, 6)
            deadline = Deadline.after(load.clock, timeout_s)
            with anyio.move_on_after(generator.uniform(0, 6)):
                try:
                    async with load.queue.admit(
                        generator.choice('xyz'),
                        generator.randint(0, 9),
                        deadline,
                        pool,
                        preferred=pool[: generator.randint(0, 1)],
                    ) as permit:
                        slot = load.queue.limits.find(permit.target)
                        assert slot.in_flight <= 2
                        await anyio.sleep(generator.uniform(0, 2))
                except OverloadedError:
                    load.outcomes.append('refused')
                else:
                    load.outcomes.append('answered')

        async with anyio.create_task_group() as group:
            for _ in range(2000):
                group.start_soon(send)
                await anyio.sleep(generator.expovariate(20))
        assert set(load.outcomes) == {'refused', 'answered'}
        assert load.queue.queued == 0
        limits = [load.queue.limits.find(name) for name in names]
        assert [limit.in_flight for limit in limits] == [0, 0, 0]

    run_virtual(scenario)
