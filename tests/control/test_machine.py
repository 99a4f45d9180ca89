"""Guard memory and last copies against paused leaders and late orders."""

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from cassiarail.control.ledger import sum_charges
from tests.control.engines import FakeEngine
from tests.control.machine import KEYS, LEASE_S, MoveKind, Simulation

REPORT_AGE_S = 5.0
TARGETS = ('t1', 't2')
controller_indexes = st.sampled_from([0, 1])
target_names = st.sampled_from(TARGETS)


class ControlMachine(RuleBasedStateMachine):
    """Check the invariants of ledgers and engines after every step."""

    checks_fence = True

    def __init__(self):
        super().__init__()
        engines = [FakeEngine(name, 100, self.checks_fence) for name in TARGETS]
        self.simulation = Simulation(engines)
        self.last_copy_removals = []
        self.restarted_at = {}
        self.record_last_copy_removals()
        # Start from a data centre that holds a model.
        self.run_operation(0, self.simulation.controllers[0].compete())
        self.run_operation(0, self.simulation.controllers[0].take_over())
        self.load(0, KEYS[0], 't1')
        assert self.count_ready('a') == 1

    def record_last_copy_removals(self):
        """Record each unload that removes the last ready copy of a model."""
        for engine in self.simulation.engines.values():
            engine.receive = self.check_receive(engine.receive)

    def check_receive(self, receive):
        def checked(order):
            before = self.count_ready(order.get('model'))
            outcome = receive(order)
            after = self.count_ready(order.get('model'))
            if before and not after and not self.has_crashed_since(order):
                self.last_copy_removals.append(order)
            return outcome

        return checked

    def has_crashed_since(self, order):
        """Return whether a target restarted after the sender's last report.

        A sender can't know of a restart within the age that it allows for
        reports.
        """
        view, sent_at = self.simulation.sender_views[order['order_id']]
        return any(
            self.simulation.engines[name].instance != instance
            and self.restarted_at[name] >= sent_at - REPORT_AGE_S
            for name, instance in view.items()
        )

    def count_ready(self, model):
        return sum(
            key.model == model and state == 'ready'
            for engine in self.simulation.engines.values()
            for key, (_size, state) in engine.held.items()
        )

    def run_operation(self, index, operation):
        controller = self.simulation.controllers[index]
        controller.finish()
        controller.begin(operation)
        controller.finish()

    def load(self, index, key, target):
        controller = self.simulation.controllers[index]
        self.run_operation(index, controller.refresh(target))
        self.simulation.clock.advance(0.1)
        self.run_operation(
            index, controller.move(MoveKind.LOAD_MODEL, target, key)
        )
        self.simulation.engines[target].finish()
        self.run_operation(index, controller.refresh(target))

    def is_idle(self, index):
        return self.simulation.controllers[index].running is None

    @rule(index=controller_indexes, steps=st.integers(1, 12))
    def step(self, index, steps):
        for _turn in range(steps):
            if not self.is_idle(index):
                self.simulation.controllers[index].step()

    @rule(index=controller_indexes, finish=st.booleans())
    def compete(self, index, finish):
        if self.is_idle(index):
            controller = self.simulation.controllers[index]
            controller.begin(controller.compete())
            if finish:
                controller.finish()

    @rule(index=controller_indexes, finish=st.booleans())
    def take_over(self, index, finish):
        if self.is_idle(index):
            controller = self.simulation.controllers[index]
            controller.begin(controller.take_over())
            if finish:
                controller.finish()

    @rule(index=controller_indexes, name=target_names, finish=st.booleans())
    def refresh(self, index, name, finish):
        if self.is_idle(index):
            controller = self.simulation.controllers[index]
            controller.begin(controller.refresh(name))
            if finish:
                controller.finish()

    @rule(
        index=controller_indexes,
        kind=st.sampled_from([MoveKind.LOAD_MODEL, MoveKind.UNLOAD_MODEL]),
        name=target_names,
        key=st.sampled_from(KEYS),
        finish=st.booleans(),
    )
    def move(self, index, kind, name, key, finish):
        if self.is_idle(index):
            controller = self.simulation.controllers[index]
            self.simulation.clock.advance(0.1)
            controller.begin(controller.move(kind, name, key))
            if finish:
                controller.finish()

    @rule(
        index=controller_indexes, key=st.sampled_from(KEYS), name=target_names
    )
    def place(self, index, key, name):
        """Complete a load, so that runs fill the targets."""
        self.load(index, key, name)

    @rule(
        index=controller_indexes, key=st.sampled_from(KEYS), name=target_names
    )
    def evict(self, index, key, name):
        """Complete an unload."""
        controller = self.simulation.controllers[index]
        for target in TARGETS:
            self.run_operation(index, controller.refresh(target))
        self.run_operation(
            index, controller.move(MoveKind.UNLOAD_MODEL, name, key)
        )
        self.simulation.engines[name].finish()
        self.run_operation(index, controller.refresh(name))

    @rule(index=controller_indexes)
    def fail_over(self, index):
        """Let the lease expire and this controller acquire it."""
        controller = self.simulation.controllers[index]
        self.run_operation(index, controller.compete())
        self.simulation.clock.advance(LEASE_S * 1.2)
        self.run_operation(index, controller.compete())
        self.run_operation(index, controller.take_over())
        for target in TARGETS:
            self.run_operation(index, controller.refresh(target))

    @rule(
        index=controller_indexes,
        kind=st.sampled_from([MoveKind.LOAD_MODEL, MoveKind.UNLOAD_MODEL]),
        name=target_names,
        key=st.sampled_from(KEYS),
        steps=st.integers(0, 8),
    )
    def supersede_during_move(self, index, kind, name, key, steps):
        """Pause a lease holder during a move while the other takes over."""
        controller = self.simulation.controllers[index]
        self.run_operation(index, controller.refresh(name))
        # The load rate would refuse a second load at the same instant.
        self.simulation.clock.advance(0.1)
        controller.begin(controller.move(kind, name, key))
        self.supersede(index, steps)

    @rule(index=controller_indexes, steps=st.integers(0, 8))
    def supersede_during_take_over(self, index, steps):
        """Pause a new lease holder before it has raised all fencing tokens."""
        self.fail_over(index)
        controller = self.simulation.controllers[index]
        controller.term = None
        controller.begin(controller.take_over())
        self.supersede(index, steps)

    def supersede(self, index, steps):
        self.step(index, steps)
        self.fail_over(1 - index)

    @rule(seconds=st.sampled_from([0.5, 3, LEASE_S * 1.2]))
    def wait(self, seconds):
        self.simulation.clock.advance(seconds)

    @rule(name=target_names)
    def work(self, name):
        self.simulation.engines[name].advance()

    @rule(delivery=st.sampled_from(['deliver', 'lose', 'late', 'unanswered']))
    def choose_delivery(self, delivery):
        self.simulation.delivery = delivery

    @precondition(lambda self: self.simulation.late_orders)
    @rule(turn=st.integers(0, 9))
    def deliver_late(self, turn):
        late_orders = self.simulation.late_orders
        address, order = late_orders.pop(turn % len(late_orders))
        self.simulation.engines[address].receive(order)

    @rule(name=target_names)
    def restart(self, name):
        self.simulation.engines[name].restart()
        self.restarted_at[name] = self.simulation.clock.monotonic()

    @rule(name=target_names)
    def toggle_reachability(self, name):
        engine = self.simulation.engines[name]
        engine.reachable = not engine.reachable

    @rule(fault=st.sampled_from(['lose', 'drop', 'outage', 'none']))
    def fail_store(self, fault):
        injected_faults = self.simulation.store.injected_faults
        injected_faults.lose_responses = int(fault == 'lose')
        injected_faults.drop_writes = int(fault == 'drop')
        injected_faults.outage = fault == 'outage'

    @invariant()
    def reservations_fit(self):
        for target in TARGETS:
            stored = self.simulation.store.peek('ledger', target)
            if stored is not None:
                assert sum_charges(stored.document) <= 100

    @invariant()
    def memory_fits(self):
        for engine in self.simulation.engines.values():
            assert not engine.overflowed

    @invariant()
    def memory_is_charged(self):
        """Every key that an engine holds has an entry in its ledger."""
        for engine in self.simulation.engines.values():
            entries = self.simulation.store.peek(
                'ledger', engine.name
            ).document['entries']
            for key in engine.held:
                assert '|'.join(key) in entries

    @invariant()
    def last_copies_stay(self):
        assert not self.last_copy_removals

    @invariant()
    def fences_only_rise(self):
        assert not self.simulation.store.stale_writes

    @invariant()
    def no_invariant_was_refused(self):
        for controller in self.simulation.controllers:
            if controller.term is not None:
                assert not controller.term.invariants.broken

    @invariant()
    def at_most_one_lease_holder(self):
        lease_holders = [
            controller.lease
            for controller in self.simulation.controllers
            if controller.lease.is_held()
        ]
        assert len(lease_holders) <= 1

    def teardown(self):
        for controller in self.simulation.controllers:
            if controller.running is not None:
                controller.running.close()


class UncheckedFenceMachine(ControlMachine):
    """Use targets that ignore fencing tokens."""

    checks_fence = False


keys = st.sampled_from(KEYS)
OPERATIONS = st.lists(
    st.one_of(
        st.tuples(st.just('place'), st.just(1), keys, target_names),
        st.tuples(st.just('evict'), st.just(1), keys, target_names),
        st.tuples(st.just('refresh'), st.just(1), target_names, st.just(True)),
        st.tuples(st.just('work'), target_names),
        st.tuples(st.just('restart'), target_names),
        st.tuples(st.just('wait'), st.sampled_from([0.5, 3])),
    ),
    max_size=4,
)


def check_invariants(machine):
    machine.reservations_fit()
    machine.memory_fits()
    machine.memory_is_charged()
    machine.last_copies_stay()
    machine.fences_only_rise()
    machine.no_invariant_was_refused()


@pytest.mark.parametrize('machine', [ControlMachine, UncheckedFenceMachine])
@settings(max_examples=400)
@example(
    # The evicting order sends a higher token to a target that ignores it.
    second_copy=True,
    delivery='late',
    kind=MoveKind.LOAD_MODEL,
    name='t1',
    key=KEYS[1],
    steps=6,
    before=[('evict', 1, KEYS[0], 't1')],
    after=[('place', 1, KEYS[2], 't1')],
)
@example(
    # A copy whose unload may still arrive does not allow another unload.
    second_copy=True,
    delivery='late',
    kind=MoveKind.UNLOAD_MODEL,
    name='t1',
    key=KEYS[0],
    steps=6,
    before=[('evict', 1, KEYS[0], 't2')],
    after=[],
)
@given(
    second_copy=st.booleans(),
    delivery=st.sampled_from(['deliver', 'late', 'unanswered']),
    kind=st.sampled_from([MoveKind.LOAD_MODEL, MoveKind.UNLOAD_MODEL]),
    name=target_names,
    key=keys,
    steps=st.integers(0, 6),
    before=OPERATIONS,
    after=OPERATIONS,
)
def test_late_order_of_paused_lease_holder_breaks_no_invariant(
    machine, second_copy, delivery, kind, name, key, steps, before, after
):
    """An order of the previous holder arrives any time after the takeover."""
    run = machine()
    if second_copy:
        run.place(0, KEYS[0], 't2')
    run.simulation.delivery = delivery
    run.supersede_during_move(0, kind, name, key, steps)
    run.simulation.delivery = 'deliver'
    for rule_name, *positional in before:
        getattr(run, rule_name)(*positional)
        check_invariants(run)
    run.step(0, 50)
    while run.simulation.late_orders:
        run.deliver_late(0)
    check_invariants(run)
    for rule_name, *positional in after:
        getattr(run, rule_name)(*positional)
        check_invariants(run)
    for target in TARGETS:
        run.simulation.engines[target].finish()
        check_invariants(run)
        run.refresh(1, target, finish=True)
        check_invariants(run)


@pytest.mark.parametrize('machine', [ControlMachine, UncheckedFenceMachine])
def test_no_interleaving_breaks_memory_or_last_copies(machine):
    """Combine pauses, late orders, restarts and store faults."""
    run_state_machine_as_test(
        machine,
        settings=settings(max_examples=200, stateful_step_count=50),
    )
