"""Guard memory and last copies against paused holders and late orders."""

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
from tests.control.engines import EngineModel
from tests.control.machine import KEYS, LEASE_S, MoveKind, World

REPORT_AGE_S = 5.0
TARGETS = ('t1', 't2')
who = st.sampled_from([0, 1])
where = st.sampled_from(TARGETS)


class ControlMachine(RuleBasedStateMachine):
    """Compare ledgers and engines with what must never happen."""

    checks_fence = True

    def __init__(self):
        super().__init__()
        engines = [
            EngineModel(name, 100, self.checks_fence) for name in TARGETS
        ]
        self.world = World(engines)
        self.removed_last = []
        self.restarted_at = {}
        self.watch_unloads()
        # Start from a data centre that holds something.
        self.do(0, self.world.controllers[0].compete())
        self.do(0, self.world.controllers[0].take_over())
        self.load(0, KEYS[0], 't1')
        assert self.count_ready('a') == 1

    def watch_unloads(self):
        """Note each unload that takes a model's last ready copy away."""
        for engine in self.world.engines.values():
            engine.receive = self.wrap(engine.receive)

    def wrap(self, receive):
        def checked(order):
            before = self.count_ready(order.get('model'))
            outcome = receive(order)
            after = self.count_ready(order.get('model'))
            if before and not after and not self.has_crashed_since(order):
                self.removed_last.append(order)
            return outcome

        return checked

    def has_crashed_since(self, order):
        """Tell whether a target restarted after the sender's last report.

        No sender can know of a restart within the age that it allows for
        reports.
        """
        evidence, sent_at = self.world.evidence[order['order_id']]
        return any(
            self.world.engines[name].instance != instance
            and self.restarted_at[name] >= sent_at - REPORT_AGE_S
            for name, instance in evidence.items()
        )

    def count_ready(self, model):
        return sum(
            key.model == model and state == 'ready'
            for engine in self.world.engines.values()
            for key, (_size, state) in engine.held.items()
        )

    def do(self, index, operation):
        controller = self.world.controllers[index]
        controller.finish()
        controller.begin(operation)
        controller.finish()

    def load(self, index, key, target):
        controller = self.world.controllers[index]
        self.do(index, controller.refresh(target))
        self.world.clock.advance(0.1)
        self.do(index, controller.move(MoveKind.LOAD_MODEL, target, key))
        self.world.engines[target].finish()
        self.do(index, controller.refresh(target))

    def idle(self, index):
        return self.world.controllers[index].running is None

    @rule(index=who, steps=st.integers(1, 12))
    def step(self, index, steps):
        for _turn in range(steps):
            if not self.idle(index):
                self.world.controllers[index].step()

    @rule(index=who, finish=st.booleans())
    def compete(self, index, finish):
        if self.idle(index):
            controller = self.world.controllers[index]
            controller.begin(controller.compete())
            if finish:
                controller.finish()

    @rule(index=who, finish=st.booleans())
    def take_over(self, index, finish):
        if self.idle(index):
            controller = self.world.controllers[index]
            controller.begin(controller.take_over())
            if finish:
                controller.finish()

    @rule(index=who, name=where, finish=st.booleans())
    def refresh(self, index, name, finish):
        if self.idle(index):
            controller = self.world.controllers[index]
            controller.begin(controller.refresh(name))
            if finish:
                controller.finish()

    @rule(
        index=who,
        kind=st.sampled_from([MoveKind.LOAD_MODEL, MoveKind.UNLOAD_MODEL]),
        name=where,
        key=st.sampled_from(KEYS),
        finish=st.booleans(),
    )
    def move(self, index, kind, name, key, finish):
        if self.idle(index):
            controller = self.world.controllers[index]
            self.world.clock.advance(0.1)
            controller.begin(controller.move(kind, name, key))
            if finish:
                controller.finish()

    @rule(index=who, key=st.sampled_from(KEYS), name=where)
    def place(self, index, key, name):
        """Go through a whole load, so that runs reach full targets."""
        self.load(index, key, name)

    @rule(index=who, key=st.sampled_from(KEYS), name=where)
    def evict(self, index, key, name):
        """Go through a whole unload."""
        controller = self.world.controllers[index]
        for target in TARGETS:
            self.do(index, controller.refresh(target))
        self.do(index, controller.move(MoveKind.UNLOAD_MODEL, name, key))
        self.world.engines[name].finish()
        self.do(index, controller.refresh(name))

    @rule(index=who)
    def fail_over(self, index):
        """Let the lease lapse and the other controller take it."""
        controller = self.world.controllers[index]
        self.do(index, controller.compete())
        self.world.clock.advance(LEASE_S * 1.2)
        self.do(index, controller.compete())
        self.do(index, controller.take_over())
        for target in TARGETS:
            self.do(index, controller.refresh(target))

    @rule(
        index=who,
        kind=st.sampled_from([MoveKind.LOAD_MODEL, MoveKind.UNLOAD_MODEL]),
        name=where,
        key=st.sampled_from(KEYS),
        steps=st.integers(0, 8),
    )
    def overtake_move(self, index, kind, name, key, steps):
        """Pause a holder in a move while the other takes over."""
        controller = self.world.controllers[index]
        self.do(index, controller.refresh(name))
        # The rate of loads would refuse a second one at the same instant.
        self.world.clock.advance(0.1)
        controller.begin(controller.move(kind, name, key))
        self.overtake(index, steps)

    @rule(index=who, steps=st.integers(0, 8))
    def overtake_take_over(self, index, steps):
        """Pause a new holder before it has raised all fences."""
        self.fail_over(index)
        controller = self.world.controllers[index]
        controller.tenure = None
        controller.begin(controller.take_over())
        self.overtake(index, steps)

    def overtake(self, index, steps):
        self.step(index, steps)
        self.fail_over(1 - index)

    @rule(seconds=st.sampled_from([0.5, 3, LEASE_S * 1.2]))
    def wait(self, seconds):
        self.world.clock.advance(seconds)

    @rule(name=where)
    def work(self, name):
        self.world.engines[name].advance()

    @rule(fate=st.sampled_from(['deliver', 'lose', 'late', 'unanswered']))
    def choose_fate(self, fate):
        self.world.fate = fate

    @precondition(lambda self: self.world.late)
    @rule(turn=st.integers(0, 9))
    def deliver_late(self, turn):
        late = self.world.late
        address, order = late.pop(turn % len(late))
        self.world.engines[address].receive(order)

    @rule(name=where)
    def restart(self, name):
        self.world.engines[name].restart()
        self.restarted_at[name] = self.world.clock.monotonic()

    @rule(name=where)
    def toggle_reach(self, name):
        engine = self.world.engines[name]
        engine.reachable = not engine.reachable

    @rule(fault=st.sampled_from(['lose', 'drop', 'outage', 'none']))
    def fail_store(self, fault):
        switches = self.world.store.switches
        switches.lose_answers = int(fault == 'lose')
        switches.drop_writes = int(fault == 'drop')
        switches.outage = fault == 'outage'

    @invariant()
    def promises_fit(self):
        for target in TARGETS:
            stored = self.world.store.peek('ledger', target)
            if stored is not None:
                assert sum_charges(stored.document) <= 100

    @invariant()
    def memory_fits(self):
        for engine in self.world.engines.values():
            assert not engine.overflowed

    @invariant()
    def memory_is_charged(self):
        """What an engine holds by our orders is in its ledger."""
        for engine in self.world.engines.values():
            entries = self.world.store.peek('ledger', engine.name).document[
                'entries'
            ]
            for key in engine.held:
                assert '|'.join(key) in entries

    @invariant()
    def last_copies_stay(self):
        assert not self.removed_last

    @invariant()
    def fences_only_rise(self):
        assert not self.world.store.stale_writes

    @invariant()
    def no_invariant_was_refused(self):
        for controller in self.world.controllers:
            if controller.tenure is not None:
                assert not controller.tenure.invariants.broken

    @invariant()
    def one_holder(self):
        holders = [
            controller.lease
            for controller in self.world.controllers
            if controller.lease.is_held()
        ]
        assert len(holders) <= 1

    def teardown(self):
        for controller in self.world.controllers:
            if controller.running is not None:
                controller.running.close()


class LenientMachine(ControlMachine):
    """Use targets that ignore fencing numbers."""

    checks_fence = False


keys = st.sampled_from(KEYS)
EFFORTS = st.lists(
    st.one_of(
        st.tuples(st.just('place'), st.just(1), keys, where),
        st.tuples(st.just('evict'), st.just(1), keys, where),
        st.tuples(st.just('refresh'), st.just(1), where, st.just(True)),
        st.tuples(st.just('work'), where),
        st.tuples(st.just('restart'), where),
        st.tuples(st.just('wait'), st.sampled_from([0.5, 3])),
    ),
    max_size=4,
)


def check(machine):
    machine.promises_fit()
    machine.memory_fits()
    machine.memory_is_charged()
    machine.last_copies_stay()
    machine.fences_only_rise()
    machine.no_invariant_was_refused()


@pytest.mark.parametrize('machine', [ControlMachine, LenientMachine])
@settings(max_examples=400)
@example(
    # The evicting order proves a higher fence at a target that ignores it.
    second_copy=True,
    fate='late',
    kind=MoveKind.LOAD_MODEL,
    name='t1',
    key=KEYS[1],
    steps=6,
    before=[('evict', 1, KEYS[0], 't1')],
    after=[('place', 1, KEYS[2], 't1')],
)
@example(
    # A copy whose unload may still arrive is no reason to unload another.
    second_copy=True,
    fate='late',
    kind=MoveKind.UNLOAD_MODEL,
    name='t1',
    key=KEYS[0],
    steps=6,
    before=[('evict', 1, KEYS[0], 't2')],
    after=[],
)
@given(
    second_copy=st.booleans(),
    fate=st.sampled_from(['deliver', 'late', 'unanswered']),
    kind=st.sampled_from([MoveKind.LOAD_MODEL, MoveKind.UNLOAD_MODEL]),
    name=where,
    key=keys,
    steps=st.integers(0, 6),
    before=EFFORTS,
    after=EFFORTS,
)
def test_paused_holder_and_late_order(
    machine, second_copy, fate, kind, name, key, steps, before, after
):
    """An order of the last holder arrives at any time after the takeover."""
    run = machine()
    if second_copy:
        run.place(0, KEYS[0], 't2')
    run.world.fate = fate
    run.overtake_move(0, kind, name, key, steps)
    run.world.fate = 'deliver'
    for rule_name, *positional in before:
        getattr(run, rule_name)(*positional)
        check(run)
    run.step(0, 50)
    while run.world.late:
        run.deliver_late(0)
    check(run)
    for rule_name, *positional in after:
        getattr(run, rule_name)(*positional)
        check(run)
    for target in TARGETS:
        run.world.engines[target].finish()
        check(run)
        run.refresh(1, target, finish=True)
        check(run)


@pytest.mark.parametrize('machine', [ControlMachine, LenientMachine])
def test_no_interleaving_breaks_memory_or_last_copies(machine):
    """Pauses, late orders, restarts and store faults in any order."""
    run_state_machine_as_test(
        machine,
        settings=settings(max_examples=200, stateful_step_count=50),
    )
