"""Guard against senders that use up the memory of a process together."""

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cassiarail.limits.byte_budget import (
    FREE_BYTES,
    ByteBudget,
    LargestFirst,
    StalestFirst,
)

KILOBYTE = 1024
LIMIT = 256 * KILOBYTE


def test_messages_beyond_the_limit_end_at_their_holder():
    budget = ByteBudget(LIMIT)
    revoked = []
    faulty = [
        budget.open('faulty', lambda number=number: revoked.append(number))
        for number in range(4)
    ]
    for reservation in faulty:
        assert reservation.take(FREE_BYTES + 60 * KILOBYTE)
    sound = budget.open('sound', lambda: revoked.append('sound'))
    assert sound.take(FREE_BYTES + 50 * KILOBYTE)
    assert len(revoked) == 1
    assert revoked[0] != 'sound'
    assert budget.used_bytes <= LIMIT


def test_a_short_message_needs_no_room():
    budget = ByteBudget(LIMIT)
    full = budget.open('a')
    assert full.take(FREE_BYTES + LIMIT)
    full.keep()
    assert budget.open('b').take(FREE_BYTES)
    assert not budget.open('c').take(FREE_BYTES + 1)


def test_a_message_that_was_read_completely_is_not_revoked():
    budget = ByteBudget(LIMIT)
    complete = budget.open('a', lambda: None)
    assert complete.take(FREE_BYTES + LIMIT - 1)
    complete.keep()
    assert not budget.open('b').take(FREE_BYTES + KILOBYTE)
    assert not complete.is_released


def test_a_message_that_stands_still_yields_to_those_that_go_on():
    # Senders that hold back the end of a body would fill the memory for all.
    budget = ByteBudget(LIMIT, StalestFirst())
    revoked = []
    held = [
        budget.open(number, lambda number=number: revoked.append(number))
        for number in range(8)
    ]
    for reservation in held:
        assert reservation.take(FREE_BYTES + LIMIT // 8)
    going_on = budget.open('sound', lambda: revoked.append('sound'))
    for _chunk in range(8):
        assert going_on.take(FREE_BYTES)
    assert revoked == [0, 1, 2, 3]


class BudgetMachine(RuleBasedStateMachine):
    """Take, give back, complete and revoke in any order."""

    def __init__(self):
        super().__init__()
        self.budget = ByteBudget(LIMIT)
        self.policies = (LargestFirst(), StalestFirst())
        self.revoked = set()
        self.open_reservations = []

    @rule(index=st.integers(0, 1))
    def change_policy(self, index):
        self.budget._policy = self.policies[index]

    @rule(holder=st.sampled_from('abc'))
    def open_message(self, holder):
        def revoke():
            assert reservation not in self.revoked
            self.revoked.add(reservation)

        reservation = self.budget.open(holder, revoke)
        self.open_reservations.append(reservation)

    @rule(data=st.data(), size=st.integers(0, LIMIT))
    def take(self, data, size):
        if not self.open_reservations:
            return
        reservation = data.draw(st.sampled_from(self.open_reservations))
        if not reservation.take(size):
            reservation.release()

    @rule(data=st.data(), is_complete=st.booleans())
    def end_message(self, data, is_complete):
        if not self.open_reservations:
            return
        reservation = data.draw(st.sampled_from(self.open_reservations))
        if is_complete:
            reservation.keep()
        else:
            reservation.release()

    @invariant()
    def the_sum_is_within_the_limit(self):
        live = [each for each in self.open_reservations if not each.is_released]
        assert self.budget.used_bytes == sum(
            each.counted_bytes for each in live
        )
        assert 0 <= self.budget.used_bytes <= LIMIT

    def teardown(self):
        for reservation in self.open_reservations:
            reservation.release()
        assert not self.budget.used_bytes
        assert not self.budget._held_bytes
        assert not self.budget._reservations


TestBudgetMachine = BudgetMachine.TestCase
TestBudgetMachine.settings = settings(
    max_examples=100, stateful_step_count=30, derandomize=True, deadline=None
)
