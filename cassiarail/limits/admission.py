"""Refuse early the requests that can't meet their deadline."""

from typing import Any, NamedTuple

from cassiarail.core.clock import Clock
from cassiarail.core.deadline import Deadline
from cassiarail.limits.concurrency import ConcurrencyLimits
from cassiarail.limits.exceptions import FairShareError, OverloadedError
from cassiarail.limits.fairness import FairQueue, Pool, Ticket

_MIN_RETRY_S = 0.1
_MAX_RETRY_S = 30.0


class AdmissionRules(NamedTuple):
    """Define the bounds of the queue.

    ``max_wait_s`` bounds the wait regardless of the deadline. A queue that has
    not been empty for ``standing_after_s`` is a standing queue, which delays
    all requests without raising throughput: the bound is ``standing_wait_s``
    then, until no request was refused for ``standing_after_s``.
    """

    max_queued: int = 500
    max_wait_s: float = 5.0
    standing_after_s: float = 1.0
    standing_wait_s: float = 0.1


class AdmissionEstimator:
    """Estimate waits and refuse requests that would be late."""

    def __init__(
        self,
        clock: Clock,
        limits: ConcurrencyLimits,
        queue: FairQueue[Any],
        rules: AdmissionRules | None = None,
    ) -> None:
        self._clock = clock
        self._limits = limits
        self._queue = queue
        self._rules = rules or AdmissionRules()
        self._standing_until = float('-inf')

    def estimate_wait(self, caller: str, priority: int, pool: Pool) -> float:
        """Return the seconds that a new request would wait in the queue."""
        if not pool.names:
            raise OverloadedError('no target may run the request at present')
        if self._limits.list_free(pool):
            # Waiting requests have already been offered the slot.
            return 0
        ahead = self._queue.count_ahead(caller, priority, pool)
        return (ahead + 1) / self._limits.estimate_rate(pool.names)

    def check_new(
        self,
        caller: str,
        priority: int,
        deadline: Deadline,
        pool: Pool,
    ) -> None:
        """Raise ``OverloadedError`` if a new request would be late."""
        wait_s = self.estimate_wait(caller, priority, pool)
        allowed_s = self.find_max_wait(deadline, pool)
        is_full = len(self._queue) >= self._rules.max_queued
        if is_full or (wait_s and wait_s > allowed_s):
            self._refuse(caller, wait_s - allowed_s)

    def check_waited(self, ticket: Ticket[Any], deadline: Deadline) -> bool:
        """Return whether a request that has waited can still be on time."""
        waited_s = self._clock.monotonic() - ticket.queued_at
        if not waited_s:
            # A free slot accepts any request. Otherwise an estimate that was
            # once too high would refuse short deadlines for ever.
            return not deadline.has_expired(self._clock)
        if waited_s > self._find_wait_bound():
            return False
        return self.estimate_slack(deadline, ticket.pool) >= 0

    def find_max_wait(self, deadline: Deadline, pool: Pool) -> float:
        """Return the longest wait in seconds that a request may have."""
        slack_s = self.estimate_slack(deadline, pool)
        return max(0, min(self._find_wait_bound(), slack_s))

    def estimate_slack(self, deadline: Deadline, pool: Pool) -> float:
        """Return the seconds that a request may wait and still be on time."""
        service_s = self._limits.estimate_service(pool.names)
        return deadline.remaining(self._clock) - service_s

    def make_late_error(self) -> OverloadedError:
        """Return the error for a request whose wait took too long."""
        return OverloadedError(
            'the queue was slower than estimated and the deadline is too near',
            retry_after_s=_MIN_RETRY_S,
        )

    def _find_wait_bound(self) -> float:
        now = self._clock.monotonic()
        waiting_s = now - self._queue.last_empty_at if len(self._queue) else 0
        if waiting_s > self._rules.standing_after_s:
            self._standing_until = now + self._rules.standing_after_s
        if now < self._standing_until:
            return self._rules.standing_wait_s
        return self._rules.max_wait_s

    def _refuse(self, caller: str, excess_s: float) -> None:
        now = self._clock.monotonic()
        if now < self._standing_until:
            self._standing_until = now + self._rules.standing_after_s
            # Refused callers should retry when the queue may have drained,
            # not immediately.
            excess_s = max(excess_s, self._rules.standing_after_s)
        retry_after_s = min(_MAX_RETRY_S, max(_MIN_RETRY_S, excess_s))
        waiting = self._queue.count_caller(caller)
        callers = max(1, self._queue.count_callers())
        if callers > 1 and waiting * callers > len(self._queue):
            raise FairShareError(
                'the caller has more requests waiting than its share',
                retry_after_s=retry_after_s,
            )
        raise OverloadedError(
            'the request could not be completed by its deadline',
            retry_after_s=retry_after_s,
        )
