"""Guard against lost slots and late admissions."""

import random

import anyio
import pytest

from cassiarail.core.clock import LoopClock
from cassiarail.core.deadline import Deadline
from cassiarail.core.loops import run_virtual
from cassiarail.gateway.overload import AdmissionQueue
from cassiarail.limits.concurrency import ConcurrencyRules
from cassiarail.limits.exceptions import OverloadedError
from cassiarail.limits.fairness import Pool


class Scene:
    """Send requests that take a second each to one target."""

    def __init__(self, slots=2):
        self.clock = LoopClock()
        rules = ConcurrencyRules(initial=slots, maximum=slots)
        self.overload = AdmissionQueue(self.clock, concurrency=rules)
        self.outcomes = []

    async def send(self, timeout_s, seconds=1, caller='x'):
        deadline = Deadline.after(self.clock, timeout_s)
        try:
            async with self.overload.admit(caller, 5, deadline, ['a']):
                await self.clock.sleep(seconds)
        except OverloadedError:
            self.outcomes.append('refused')
        else:
            is_late = deadline.has_expired(self.clock)
            self.outcomes.append('late' if is_late else 'on time')

    @property
    def in_flight(self):
        return self.overload.limits.find('a').in_flight


def test_tenfold_load_is_answered_at_capacity_and_never_late():
    # Two requests a second complete; twenty a second arrive for ten seconds.
    async def scenario():
        scene = Scene()
        async with anyio.create_task_group() as group:
            for _ in range(200):
                group.start_soon(scene.send, 4.1)
                await scene.clock.sleep(0.05)
        assert set(scene.outcomes) == {'on time', 'refused'}
        assert scene.outcomes.count('on time') >= 20
        assert scene.in_flight == 0
        assert scene.overload.queued == 0

    run_virtual(scenario)


def test_cancelled_requests_give_back_their_slots():
    # Fails if a caller that leaves while waiting keeps a slot for ever.
    async def scenario():
        scene = Scene(slots=1)
        async with anyio.create_task_group() as group:
            for _ in range(5):
                group.start_soon(scene.send, 60, 1)
            await scene.clock.sleep(0.5)
            group.cancel_scope.cancel()
        assert scene.in_flight == 0
        assert scene.overload.queued == 0
        await scene.send(5)
        assert scene.outcomes == ['on time']

    run_virtual(scenario)


def test_failures_release_the_slot():
    async def scenario():
        scene = Scene(slots=1)
        deadline = Deadline.after(scene.clock, 5)

        async def fail():
            async with scene.overload.admit('x', 5, deadline, ['a']) as permit:
                permit.move('b')
                raise ZeroDivisionError

        with pytest.raises(ZeroDivisionError):
            await fail()
        assert scene.overload.limits.list_free(Pool(('a', 'b'))) == ['a', 'b']

    run_virtual(scenario)


def test_short_deadlines_recover_after_long_requests():
    # Fails if an estimate from long requests refuses short ones for ever.
    async def scenario():
        scene = Scene(slots=1)
        await scene.send(100, 50)
        await scene.send(2, 0.1)
        assert scene.outcomes == ['on time', 'on time']

    run_virtual(scenario)


def test_failed_choice_fails_only_its_own_request():
    # Fails if the request that frees a slot gets another one's error.
    async def scenario():
        scene = Scene(slots=1)
        errors = []

        def choose(names):
            raise LookupError

        async def send_failing():
            deadline = Deadline.after(scene.clock, 9)
            try:
                async with scene.overload.admit(
                    'y', 5, deadline, ['a'], choose
                ):
                    errors.append('admitted')
            except LookupError:
                errors.append('failed')

        async with anyio.create_task_group() as group:
            group.start_soon(scene.send, 9)
            await scene.clock.sleep(0.1)
            group.start_soon(send_failing)
        assert errors == ['failed']
        assert scene.outcomes == ['on time']
        assert scene.in_flight == 0

    run_virtual(scenario)


def test_random_load_leaves_nothing_behind():
    # Fails if a cancellation at any moment leaks a slot or a place in the
    # queue, or if a limit is exceeded.
    async def scenario():
        scene = Scene(slots=2)
        generator = random.Random(5)
        names = ('a', 'b', 'c')

        async def send():
            pool = generator.sample(names, generator.randint(1, 3))
            timeout_s = generator.uniform(0, 6)
            deadline = Deadline.after(scene.clock, timeout_s)
            with anyio.move_on_after(generator.uniform(0, 6)):
                try:
                    async with scene.overload.admit(
                        generator.choice('xyz'),
                        generator.randint(0, 9),
                        deadline,
                        pool,
                        preferred=pool[: generator.randint(0, 1)],
                    ) as permit:
                        slot = scene.overload.limits.find(permit.target)
                        assert slot.in_flight <= 2
                        await anyio.sleep(generator.uniform(0, 2))
                except OverloadedError:
                    scene.outcomes.append('refused')
                else:
                    scene.outcomes.append('answered')

        async with anyio.create_task_group() as group:
            for _ in range(2000):
                group.start_soon(send)
                await anyio.sleep(generator.expovariate(20))
        assert set(scene.outcomes) == {'refused', 'answered'}
        assert scene.overload.queued == 0
        limits = [scene.overload.limits.find(name) for name in names]
        assert [limit.in_flight for limit in limits] == [0, 0, 0]

    run_virtual(scenario)
