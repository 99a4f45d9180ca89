"""Test that at most one process holds a lease."""

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from cassiarail.core.exceptions import StoreError
from cassiarail.store.leases import Lease
from cassiarail.store.writes import ConditionalWriter
from tests.control.machine import SteppedClock, SteppedStore

DURATION_S = 10.0
process_index = st.integers(0, 1)


class LeaseMachine(RuleBasedStateMachine):
    """Let processes compete with pauses and store faults."""

    def __init__(self):
        super().__init__()
        self.clock = SteppedClock()
        self.store = SteppedStore()
        self.leases = [self.make(name) for name in 'xy']
        self.running = [None] * len(self.leases)
        self.fences = {}

    def make(self, name):
        generator = random.Random(name)
        writer = ConditionalWriter(self.store, self.clock, generator, 2)
        return Lease(writer, 'dc.a', name, self.clock, generator, DURATION_S)

    @rule(
        index=process_index,
        finish=st.booleans(),
        release=st.sampled_from([0, 0, 0, 1]),
    )
    def compete(self, index, finish, release):
        if self.running[index] is None:
            lease = self.leases[index]
            call = lease.release if release else lease.attempt
            self.running[index] = call()
        self.step(index, 100 if finish else 1)

    @rule(index=process_index, steps=st.integers(1, 5))
    def step(self, index, steps):
        for _turn in range(steps):
            if self.running[index] is not None:
                self.step_once(index)

    def step_once(self, index):
        try:
            self.running[index].send(None)
        except (StopIteration, StoreError):
            self.running[index] = None

    @rule(seconds=st.sampled_from([4, 0.2, 9.9, 11.1]))
    def wait(self, seconds):
        self.clock.advance(seconds)

    @rule(fault=st.sampled_from(['none', 'lose', 'drop', 'none', 'outage']))
    def fail_store(self, fault):
        injected_faults = self.store.injected_faults
        injected_faults.lose_responses = int(fault == 'lose')
        injected_faults.drop_writes = int(fault == 'drop')
        injected_faults.outage = fault == 'outage'

    @invariant()
    def at_most_one_holder_with_stored_fence(self):
        holders = [lease for lease in self.leases if lease.is_held()]
        assert len(holders) <= 1
        stored = self.store.peek('lease', 'dc.a')
        if holders:
            assert holders[0].fence == stored.document['fence']

    @invariant()
    def fence_identifies_one_holder(self):
        stored = self.store.peek('lease', 'dc.a')
        if stored is None or not stored.document['holder']:
            return
        fence = stored.document['fence']
        holder = stored.document['holder']
        assert self.fences.setdefault(fence, holder) == holder
        assert fence == max(self.fences)

    def teardown(self):
        for running in filter(None, self.running):
            running.close()


def test_at_most_one_process_holds_the_lease():
    """Guard against two holders after lost responses, pauses and outages."""
    run_state_machine_as_test(
        LeaseMachine,
        settings=settings(max_examples=300, stateful_step_count=40),
    )
