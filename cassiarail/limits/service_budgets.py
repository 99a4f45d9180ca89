"""Hold one shared retry budget for each service."""

from collections.abc import Callable

from cassiarail.core.clock import Clock
from cassiarail.limits.shared_budget import BudgetRules, SharedBudget


class ServiceBudgets:
    """Create the retry budget of a service on first use."""

    def __init__(
        self,
        clock: Clock,
        rules: BudgetRules,
        count_hosts: Callable[[], int],
    ) -> None:
        self._clock = clock
        self._rules = rules
        self._count_hosts = count_hosts
        self._budgets: dict[str, SharedBudget] = {}

    def of_service(self, service: str) -> SharedBudget:
        """Return the budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = SharedBudget(self._clock, self._rules, self._count_hosts)
            self._budgets[service] = budget
        return budget

    def change_rules(self, rules: BudgetRules) -> None:
        """Apply new bounds to current and future budgets."""
        self._rules = rules
        for budget in self._budgets.values():
            budget.rules = rules
