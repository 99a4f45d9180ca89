"""Guard against hosts that together exceed the retry budget."""

from hypothesis import given
from hypothesis import strategies as st

from cassiarail.core.clock import ManualClock
from cassiarail.limits.service_budgets import ServiceBudgets
from cassiarail.limits.shared_budget import BudgetRules, SharedBudget

RULES = BudgetRules(ratio=0.2, slack=20, window_s=10)
HOSTS = 4

steps = st.lists(
    st.tuples(
        st.integers(0, HOSTS - 1),
        st.sampled_from(['request', 'repeat', 'wait']),
        st.integers(1, 30),
    ),
    max_size=200,
)


@given(steps)
def test_no_window_exceeds_the_bound(actions):
    # The hosts exchange no messages, as in a partition (BUDGET).
    clock = ManualClock()
    budgets = [SharedBudget(clock, RULES, lambda: HOSTS) for _ in range(HOSTS)]
    requests, retries = [], []
    for host, action, count in actions:
        if action == 'wait':
            clock.advance(count / 10)
        for _each in range(count if action != 'wait' else 0):
            if action == 'request':
                budgets[host].record_request()
                requests.append(clock.monotonic())
            elif budgets[host].try_spend():
                retries.append(clock.monotonic())
    for end in retries:
        begin = end - RULES.window_s
        sent = sum(begin < at <= end for at in retries)
        requested = sum(begin - RULES.window_s < at <= end for at in requests)
        assert sent <= RULES.ratio * requested + RULES.slack


def test_a_budget_recovers_after_its_window():
    clock = ManualClock()
    budget = SharedBudget(clock, RULES, lambda: 1)
    while budget.try_spend():
        pass
    clock.advance(RULES.window_s + 0.1)
    assert budget.try_spend()


def test_changed_rules_apply_to_known_services():
    clock = ManualClock()
    budgets = ServiceBudgets(clock, RULES, lambda: 1)
    budget = budgets.of_service('s')
    budgets.change_rules(RULES._replace(ratio=0, slack=0))
    assert not budget.try_spend()
