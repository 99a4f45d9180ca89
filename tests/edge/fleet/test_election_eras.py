"""Test elections on a store that comes back from a copy."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from cassiarail.core.clock import ManualClock
from cassiarail.core.exceptions import StoreError
from cassiarail.store.backends.memory import MemoryObjectStore
from tests.edge.fleet.election_members import (
    HOSTS,
    RULES,
    Member,
    host_indexes,
)
from tests.store.driving import drive


class EraMember(Member):
    """Run an election with a client of its own, which learns eras by itself."""

    def __init__(self, name, clock, store, process=0):
        self.client = store.open_client()
        super().__init__(name, clock, self.client, process)

    def compete(self):
        if self.election._may_compete():
            drive(self.election._acquire_or_renew())
        if self.election._is_leader and not self.lease.is_held():
            self.lease.abandon()
            self.election._end_term('lease expired')


def make_members(*names, era=1):
    clock = ManualClock()
    store = MemoryObjectStore()
    store.begin_era(era)
    return clock, store, [EraMember(name, clock, store) for name in names]


def advance_and_compete(clock, members, seconds):
    for _ in range(round(seconds * 10)):
        clock.advance(0.1)
        for member in members:
            member.compete()


def test_the_first_term_of_a_store_with_eras_begins_at_once():
    _clock, _store, (first,) = make_members('a')
    first.compete()
    assert first.election.may_order('x')


def test_a_holder_takes_a_lost_lease_again_with_a_higher_token():
    clock, store, (first, second) = make_members('a', 'b')
    copy = store.take_copy()
    first.compete()
    fence = first.election.fence
    store.come_back(copy)
    clock.advance(0.1)
    drive(first.client.read('other', 'n'))
    first.election.renew_soon()
    second.compete()
    assert not second.election.is_held()
    first.compete()
    assert first.election.is_held()
    assert first.election.fence > fence
    assert first.changes == [True, False, True]


def test_no_other_host_takes_a_lost_lease_while_its_holder_may_order():
    # Its holder is cut off from the store and knows nothing of the new era.
    clock, store, (first, second) = make_members('a', 'b')
    copy = store.take_copy()
    first.compete()
    store.come_back(copy)
    while not second.election.is_held():
        assert first.lease.seconds_left() or not first.election.is_held()
        second.compete()
        assert not (first.election.is_held() and second.election.is_held())
        clock.advance(0.1)
    assert not first.election.is_held()
    assert second.election.fence > first.election.fence


def test_a_lease_that_was_released_before_the_copy_is_not_free():
    # Another host acquired it in the lost seconds.
    clock, store, (first, second, third) = make_members('a', 'b', 'c')
    first.compete()
    first.election.record_order('x')
    drive(first.lease.release())
    copy = store.take_copy()
    second.compete()
    assert second.election.is_held()
    second.lease._writer.store.injected_faults.outage = True
    store.come_back(copy)
    third.election.record_resignation(first.election.fence, {})
    while not third.election.is_held():
        third.compete()
        assert not (second.election.is_held() and third.election.is_held())
        clock.advance(0.1)
    assert third.election.fence > second.election.fence


def test_the_wait_for_a_lost_lease_begins_anew_with_each_era():
    clock, store, (first, second) = make_members('a', 'b')
    first.compete()
    copy = store.take_copy()
    for _ in range(2):
        store.come_back(copy)
        second.compete()
        assert first.election.is_held()
        assert not second.election.is_held()
        advance_and_compete(clock, [first], 2 * RULES.lease_s)


def test_a_machine_does_not_retake_its_lease_from_a_copy():
    clock, store, (first, second) = make_members('a', 'b')
    first.compete()
    copy = store.take_copy()
    drive(first.lease.release())
    second.compete()
    assert second.election.is_held()
    store.come_back(copy)
    restarted = EraMember('a', clock, store, 1)
    restarted.compete()
    assert not restarted.election.is_held()


def test_a_renewal_that_crosses_a_change_does_not_keep_the_token():
    _clock, store, (first, _second) = make_members('a', 'b')
    first.compete()
    fence = first.election.fence
    store.come_back(store.take_copy())
    first.election.renew_soon()
    first.compete()
    assert first.election.is_held()
    assert first.election.fence > fence
    assert store.peek('lease', 'orders').document['era'] == 2


class EraElectionMachine(RuleBasedStateMachine):
    """Let the store come back from copies while hosts compete."""

    def __init__(self):
        super().__init__()
        self.clock, self.store, self.members = make_members('a', 'b', 'c')
        self.copies = [self.store.take_copy()]
        self.fences = {}
        self.orders = {}
        self.restarts = 0

    @rule()
    def take_copy(self):
        self.copies = [*self.copies[-2:], self.store.take_copy()]

    @rule(index=st.integers(0, 2))
    def come_back(self, index):
        copy = self.copies[index % len(self.copies)]
        self.store.come_back(copy)
        self.copies = [copy]

    @rule(index=host_indexes)
    def compete(self, index):
        try:
            self.members[index].compete()
        except StoreError:
            return

    @rule(index=host_indexes)
    def learn_the_era(self, index):
        client = self.members[index].client
        client.era.observe(self.store.open_client()._read_era(), 'peer')
        self.members[index].election.renew_soon()

    @rule(index=host_indexes)
    def resign(self, index):
        election = self.members[index].election
        if election.is_held():
            fence = election.fence
            try:
                drive(election.drain())
            except StoreError:
                return
            finally:
                self.restart(index)
            for other in self.members:
                other.election.record_resignation(fence, {})

    @rule(index=host_indexes, lost=st.sampled_from(['response', 'write']))
    def lose(self, index, lost):
        faults = self.members[index].client.injected_faults
        if lost == 'response':
            faults.lose_responses = 1
        else:
            faults.drop_writes = 1

    @rule(index=host_indexes, has_outage=st.booleans())
    def cut(self, index, has_outage):
        faults = self.members[index].client.injected_faults
        faults.outage = has_outage

    @rule(seconds=st.integers(1, 4))
    def go_on(self, seconds):
        for _ in range(10 * seconds):
            self.clock.advance(0.1)
            for index in range(HOSTS):
                self.compete(index)
                self.check()

    def restart(self, index):
        self.restarts += 1
        self.members[index] = EraMember(
            'abc'[index], self.clock, self.store, self.restarts
        )

    @rule(tenths=st.integers(1, 30))
    def pass_time(self, tenths):
        self.clock.advance(tenths / 10)
        self.check()

    def check(self):
        held = [each for each in self.members if each.election.is_held()]
        assert len(held) <= 1
        for member in held:
            fence = member.election.fence
            holder = self.fences.setdefault(fence, member.election.holder)
            assert holder == member.election.holder
            assert fence == max(self.fences)

    @invariant()
    def one_holder_with_the_highest_token(self):
        self.check()


def test_era_machine():
    run_state_machine_as_test(
        EraElectionMachine,
        settings=settings(
            max_examples=150, stateful_step_count=40, deadline=None
        ),
    )
