"""Test that orders of two leaders never come too close."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    rule,
    run_state_machine_as_test,
)

from cassiarail.core.clock import ManualClock
from cassiarail.core.exceptions import StoreError
from cassiarail.edge.engines.orders import ORDER_TIMEOUT_S
from cassiarail.store.backends.memory import MemoryObjectStore
from tests.edge.fleet.election_members import (
    HOSTS,
    ORDER_GAP_S,
    ROUNDING_S,
    RULES,
    Member,
    host_indexes,
)
from tests.store.driving import drive


class ElectionMachine(RuleBasedStateMachine):
    """Let hosts send orders, stop, pause and lose the store."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.store = MemoryObjectStore()
        self.disconnected = set()
        self.members = [
            Member(f'h{number}', self.clock, self.store)
            for number in range(HOSTS)
        ]
        self.orders = {}
        self.restarts = 0

    @rule(index=host_indexes)
    def restart(self, index):
        # A new process on the same machine may take over its lease at once.
        self.restarts += 1
        self.members[index] = Member(
            f'h{index}', self.clock, self.store, self.restarts
        )

    @rule(engine=st.sampled_from('xy'), tenths=st.integers(1, 30))
    def kill_leader_after_an_order(self, engine, tenths):
        """Let the next process on its machine retake the lease and resign."""
        for index, member in enumerate(self.members):
            if not member.election.is_held():
                continue
            self.compete(index)
            self.send_order(index, engine, 0)
            self.restart(index)
            self.compete(index)
            self.clock.advance(tenths / 10)
            self.lose_the_store(index)
            for other in range(HOSTS):
                self.compete(other)
                self.send_order(other, engine, 0)
            return

    @rule(index=host_indexes)
    def compete(self, index):
        member = self.members[index]
        if index in self.disconnected:
            member.lease.abandon()
            return
        if member.election._may_compete():
            try:
                drive(member.election._acquire_or_renew())
            except StoreError:
                return

    @rule(tenths=st.integers(1, 40))
    def pass_time(self, tenths):
        self.clock.advance(tenths / 10)

    @rule(
        index=host_indexes,
        engine=st.sampled_from('xy'),
        transit_s=st.floats(0, ORDER_TIMEOUT_S),
    )
    def send_order(self, index, engine, transit_s):
        # An order may be in transit until it times out (seed 120 of the soak
        # test: one arrived 0.7 s after it was sent).
        member = self.members[index]
        if not member.election.may_order(engine):
            return
        now = self.clock.monotonic()
        last = self.orders.get(engine)
        fence = member.election.fence
        if last and last[0] != index:
            assert now - last[2] >= ORDER_GAP_S - ROUNDING_S
            assert fence > last[3]
        member.election.record_order(engine)
        self.orders[engine] = (index, now, now + transit_s, fence)

    @rule(index=host_indexes)
    def step_down(self, index):
        member = self.members[index]
        self._resign(index, lambda: drive(member.election.drain()))
        member.election._is_stopping = False

    @rule(index=host_indexes)
    def lose_the_store(self, index):
        # The leader abandons its lease before it expires, and may try again.
        member = self.members[index]

        def end():
            member.lease.abandon()
            member.election._end_term('store is unreachable')

        self._resign(index, end)

    def _resign(self, index, end):
        member = self.members[index]
        if not member.election.is_held():
            return
        fence = member.election.fence
        # A restarted process doesn't know of the orders before its start.
        idle_s = {engine: member.election.idle_s(engine) for engine in 'xy'}
        end()
        for other in self.members:
            if other is not member:
                other.election.record_resignation(fence, idle_s)

    @rule(index=host_indexes)
    def observe_lease(self, index):
        found = drive(self.store.read('lease', 'orders'))
        if found is not None:
            self.members[index].lease.observe(found.version)

    @rule(index=host_indexes, is_disconnected=st.booleans())
    def change_store_access(self, index, is_disconnected):
        if is_disconnected:
            self.disconnected.add(index)
        else:
            self.disconnected.discard(index)


def test_orders_of_two_leaders_keep_the_gap():
    run_state_machine_as_test(
        ElectionMachine,
        settings=settings(max_examples=150, stateful_step_count=60),
    )


def test_a_resignation_shortens_the_order_holdoff():
    clock = ManualClock()
    store = MemoryObjectStore()
    first, second = (Member(name, clock, store) for name in 'ab')
    drive(first.election._acquire_or_renew())
    assert first.election.may_order('x')
    clock.advance(1)
    fence = first.election.fence
    drive(first.election.drain())
    second.election.record_resignation(fence, {'x': 0.5, 'y': 60})
    drive(second.election._acquire_or_renew())
    assert second.election.may_order('y')
    assert not second.election.may_order('x')
    assert not second.election.may_order('unknown')
    drive(second.election._acquire_or_renew())
    for _renewal in range(4):
        clock.advance(0.8)
        drive(second.election._acquire_or_renew())
    assert second.election.may_order('x')


def test_a_restarted_process_retakes_the_lease_of_its_machine():
    # After all processes were killed, no order was sent for 5.3 s.
    clock = ManualClock()
    store = MemoryObjectStore()
    first = Member('a', clock, store)
    drive(first.election._acquire_or_renew())
    clock.advance(0.9)
    drive(first.election._acquire_or_renew())
    restarted = Member('a', clock, store, process=1)
    drive(restarted.election._acquire_or_renew())
    assert restarted.election.fence == 2
    assert restarted.election.may_order('x')


def test_a_restarted_process_inherits_the_order_holdoff():
    clock = ManualClock()
    store = MemoryObjectStore()
    other, first = Member('b', clock, store), Member('a', clock, store)
    drive(other.election._acquire_or_renew())
    drive(first.election._acquire_or_renew())
    clock.advance(RULES.lease_s * 1.2)
    drive(first.election._acquire_or_renew())
    assert first.election.is_held()
    restarted = Member('a', clock, store, process=1)
    drive(restarted.election._acquire_or_renew())
    assert restarted.election.is_held()
    assert not restarted.election.may_order('x')


def test_a_restarted_leader_hands_over_as_if_it_had_just_sent_orders():
    # Another host gave an engine an order 2.5 s after the killed process had.
    clock = ManualClock()
    store = MemoryObjectStore()
    first, other = (Member(name, clock, store) for name in 'ab')
    drive(first.election._acquire_or_renew())
    clock.advance(0.9)
    drive(first.election._acquire_or_renew())
    first.election.record_order('x')
    clock.advance(0.4)
    restarted = Member('a', clock, store, process=1)
    drive(restarted.election._acquire_or_renew())
    clock.advance(1)
    idle_s = restarted.election.idle_s('x')
    assert idle_s <= 1.4
    fence = restarted.election.fence
    restarted.lease.abandon()
    other.election.record_resignation(fence, {'x': idle_s})
    drive(other.election._acquire_or_renew())
    assert other.election.is_held()
    assert not other.election.may_order('x')


def test_a_leader_knows_the_orders_of_its_earlier_terms():
    # Records of engines are cleared at the beginning of a term.
    clock = ManualClock()
    member = Member('a', clock, MemoryObjectStore())
    drive(member.election._acquire_or_renew())
    member.election.record_order('x')
    clock.advance(0.1)
    member.lease.abandon()
    member.election._end_term('store is unreachable')
    drive(member.election._acquire_or_renew())
    clock.advance(1)
    assert member.election.idle_s('x') <= 1.1 + ROUNDING_S


def test_a_leader_without_predecessor_hands_over_at_once():
    clock = ManualClock()
    member = Member('a', clock, MemoryObjectStore())
    drive(member.election._acquire_or_renew())
    assert member.election.idle_s('x') >= ORDER_GAP_S


def test_a_leader_that_was_suspended_sends_no_orders():
    clock = ManualClock()
    member = Member('a', clock, MemoryObjectStore())
    drive(member.election._acquire_or_renew())
    clock.advance(RULES.lease_s)
    assert not member.election.may_order('x')


def test_a_leader_that_stepped_down_never_reuses_its_fencing_token():
    # After an outage it renewed its lease, though another had the next token.
    clock = ManualClock()
    store = MemoryObjectStore()
    first, second = (Member(name, clock, store) for name in 'ab')
    drive(first.election._acquire_or_renew())
    fence = first.election.fence
    first.lease.abandon()
    first.election._end_term('store is unreachable')
    second.election.record_resignation(fence, {})
    drive(first.election._acquire_or_renew())
    assert first.election.fence > fence
    drive(second.election._acquire_or_renew())
    assert not second.election.is_held()


DELAYED = RULES._replace(acquire_delay_s=3)


def compete(member):
    """Let a host compete; return whether it holds the lease afterwards."""
    if member.election._may_compete():
        drive(member.election._acquire_or_renew())
    return member.election.is_held()


def test_a_host_on_a_narrow_link_leaves_the_lease_to_others():
    # Eleven leaders on such links lost the lease within seconds, one by one.
    clock = ManualClock()
    store = MemoryObjectStore()
    narrow = Member('a', clock, store, rules=DELAYED)
    wide = Member('b', clock, store)
    clock.advance(0.1)
    assert not compete(narrow)
    assert compete(wide)


def test_a_host_on_a_narrow_link_acquires_the_lease_if_no_other_does():
    clock = ManualClock()
    narrow = Member('a', clock, MemoryObjectStore(), rules=DELAYED)
    assert not compete(narrow)
    clock.advance(DELAYED.acquire_delay_s + 0.1)
    assert compete(narrow)


def test_a_released_lease_is_soon_acquired_on_a_narrow_link():
    clock = ManualClock()
    store = MemoryObjectStore()
    first = Member('b', clock, store)
    narrow = Member('a', clock, store, rules=DELAYED)
    clock.advance(0.1)
    assert compete(first)
    narrow.election.record_leader()
    fence = first.election.fence
    drive(first.election.drain())
    narrow.election.record_resignation(fence, {})
    clock.advance(DELAYED.handover_s + 0.1)
    assert compete(narrow)


def test_a_restarted_process_on_a_narrow_link_retakes_its_lease_at_once():
    clock = ManualClock()
    store = MemoryObjectStore()
    first = Member('a', clock, store, rules=DELAYED)
    clock.advance(DELAYED.acquire_delay_s + 0.1)
    assert compete(first)
    restarted = Member('a', clock, store, process=1, rules=DELAYED)
    assert compete(restarted)
    assert restarted.election.fence == 2


def test_a_host_reads_the_lease_only_while_the_store_responds():
    # All hosts competed several times a second in an outage of the store.
    clock = ManualClock()
    member = Member('a', clock, MemoryObjectStore())
    member.election._is_allowed = lambda: False
    assert not member.election._may_compete()
    member.election._is_allowed = lambda: True
    assert member.election._may_compete()


def test_a_leader_renews_its_lease_though_another_call_failed():
    clock = ManualClock()
    member = Member('a', clock, MemoryObjectStore())
    assert compete(member)
    member.election._is_allowed = lambda: False
    clock.advance(RULES.lease_s / RULES.renewals_per_lease)
    assert member.election._may_compete()


def test_a_host_doesnt_read_a_lease_again_that_is_being_renewed():
    # Before the first state update, hosts read it several times a second.
    clock = ManualClock()
    store = MemoryObjectStore()
    leader, other = (Member(name, clock, store) for name in 'ab')
    assert compete(leader)
    assert not compete(other)
    clock.advance(0.2)
    assert not other.election._may_compete()
    clock.advance(RULES.lease_s / RULES.renewals_per_lease)
    assert other.election._may_compete()


def test_an_expired_lease_is_acquired_as_soon_as_before():
    clock = ManualClock()
    store = MemoryObjectStore()
    leader, other = (Member(name, clock, store) for name in 'ab')
    assert compete(leader)
    while not compete(other):
        clock.advance(0.1)
    assert clock.monotonic() <= RULES.lease_s * 1.1 + 0.1
