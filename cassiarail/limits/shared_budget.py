"""Share a retry budget between hosts that may not reach each other.

Without a bound, the retries of every host would multiply the load of a service
whose targets fail or are full.
"""

import collections
from collections.abc import Callable
from typing import NamedTuple

from cassiarail.core.clock import Clock

# Share of the budget that is used, as the windows of hosts are not aligned.
_SAFETY_FACTOR = 0.8


class BudgetRules(NamedTuple):
    """Bound the retries to a service in any window of ``window_s`` seconds.

    All hosts together may retry the share ``ratio`` of the requests in the
    window, plus ``slack`` requests.
    """

    ratio: float
    slack: float
    window_s: float


class SharedBudget:
    """Spend this host's part of the budget for one service.

    The ratio applies to the host's own requests, and the slack is divided by
    the number of hosts, so that hosts need no messages from each other.
    """

    def __init__(
        self,
        clock: Clock,
        rules: BudgetRules,
        count_hosts: Callable[[], int],
    ) -> None:
        self._clock = clock
        self.rules = rules
        self._count_hosts = count_hosts
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def record_request(self) -> None:
        """Count a caller's request to the service."""
        self._requests.append(self._clock.monotonic())

    def try_spend(self) -> bool:
        """Spend one retry and return whether the budget allowed it."""
        now = self._clock.monotonic()
        self._expire(now)
        slack = self.rules.slack / max(1, self._count_hosts())
        allowed = self.rules.ratio * len(self._requests) + slack
        if len(self._retries) + 1 > allowed * _SAFETY_FACTOR:
            return False
        self._retries.append(now)
        return True

    def _expire(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now - self.rules.window_s:
                times.popleft()
