"""Test the bound of a quota over hosts that fail in any order."""

import hypothesis
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tests.limits.quota_fleet import RATE, Fleet, make_account

HOSTS = 8
# A process takes this long to start again, and a fleet to elect a leader.
RESTART_S = 1.0
ELECTION_S = 2.4
STEP_S = 0.02
INDEXES = st.integers(0, HOSTS - 1)


class QuotaMachine(RuleBasedStateMachine):
    """Let all hosts spend what they can while hosts and links fail."""

    def __init__(self):
        super().__init__()
        self.account = make_account('a')
        self.fleet = Fleet(HOSTS, [self.account], 1, loss=0.01)
        self.fleet.run(1)

    @rule(
        seconds=st.floats(0.1, 4),
        share=st.sampled_from((0, 0.5, 2, 8)),
        spread=st.integers(1, HOSTS),
        cost=st.sampled_from((500, 2000)),
    )
    def spend(self, seconds, share, spread, cost):
        fleet = self.fleet
        until = fleet.now + seconds
        owed = 0
        while fleet.now < until:
            owed += RATE * share * STEP_S
            while owed >= cost:
                owed -= cost
                host = fleet.hosts[fleet.random.randrange(spread)]
                fleet.request(host, self.account, cost)
            fleet.run(STEP_S)

    @rule(index=INDEXES)
    def cut(self, index):
        self.fleet.hosts[index].is_cut ^= True

    @rule(first=INDEXES, count=st.integers(1, HOSTS), is_cut=st.booleans())
    def cut_data_centre(self, first, count, is_cut):
        for host in self.fleet.hosts[first : first + count]:
            host.is_cut = is_cut

    @rule(index=INDEXES)
    def freeze(self, index):
        self.fleet.hosts[index].is_frozen ^= True

    @rule(index=INDEXES)
    def restart(self, index):
        host = self.fleet.hosts[index]
        host.is_up = False
        if host is self.fleet.leader:
            self.fleet.lead(None)
        self.fleet.run(RESTART_S)
        host.restart()

    @rule(after_s=st.floats(0, 5), seconds=st.floats(0, 5))
    def fill_engines(self, after_s, seconds):
        self.fleet.return_after(after_s, until=self.fleet.now + seconds)

    @rule(index=INDEXES)
    def remove_quota_for_a_time(self, index):
        unlimited = self.account._replace(quota=None)
        self.fleet.hosts[index].quotas.try_spend(unlimited, 1)

    @rule(index=INDEXES)
    def elect(self, index):
        self.fleet.lead(None)
        self.fleet.run(ELECTION_S)
        if self.fleet.hosts[index].runs():
            self.fleet.lead(self.fleet.hosts[index])

    @invariant()
    def use_is_below_the_bound(self):
        assert self.fleet.worst_share(self.account) <= 1


QuotaMachine.TestCase.settings = hypothesis.settings(
    max_examples=15,
    stateful_step_count=12,
    derandomize=True,
    deadline=None,
    database=None,
)
TestQuotaMachine = QuotaMachine.TestCase
