"""Refuse early what can't be answered by its deadline."""

from typing import Any, NamedTuple

from cassiarail.core.clock import Clock
from cassiarail.core.deadline import Deadline
from cassiarail.limits.concurrency import ConcurrencyLimits
from cassiarail.limits.exceptions import FairShareError, OverloadedError
from cassiarail.limits.fairness import FairQueue, Pool, Ticket

_MIN_RETRY_S = 0.1
_MAX_RETRY_S = 30.0


class AdmissionRules(NamedTuple):
    """Hold the bounds of the queue.

    ``max_wait_s`` bounds the wait whatever the deadline. ``service_margin``
    multiplies the mean service time, because half of the requests take longer
    than the mean.
    """

    max_queued: int = 2000
    max_wait_s: float = 5.0
    service_margin: float = 1.5


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

    def estimate_wait(self, caller: str, priority: int, pool: Pool) -> float:
        """Return the seconds that a new request would wait in the queue."""
        if not pool:
            raise OverloadedError('no target may run the request at present')
        if self._limits.list_free(pool) and not len(self._queue):
            return 0
        ahead = self._queue.count_ahead(caller, priority, pool)
        return (ahead + 1) / self._limits.estimate_rate(pool)

    def check_new(
        self,
        caller: str,
        priority: int,
        deadline: Deadline,
        pool: Pool,
    ) -> None:
        """Raise ``OverloadedError`` if a new request would be late."""
        wait_s = self.estimate_wait(caller, priority, pool)
        allowed_s = self.count_longest_wait(deadline, pool)
        is_full = len(self._queue) >= self._rules.max_queued
        if is_full or (wait_s and wait_s > allowed_s):
            self._refuse(caller, wait_s - allowed_s)

    def check_waited(self, ticket: Ticket[Any], deadline: Deadline) -> bool:
        """Tell whether a request that has waited can still be on time."""
        waited_s = self._clock.monotonic() - ticket.queued_at
        if not waited_s:
            # A free slot takes any request: otherwise an estimate that was
            # once too high would refuse short deadlines for ever.
            return not deadline.has_expired(self._clock)
        if waited_s > self._rules.max_wait_s:
            return False
        return self.count_spare(deadline, ticket.pool) >= 0

    def count_longest_wait(self, deadline: Deadline, pool: Pool) -> float:
        """Return the seconds after which a wait is given up."""
        spare_s = self.count_spare(deadline, pool)
        return max(0, min(self._rules.max_wait_s, spare_s))

    def count_spare(self, deadline: Deadline, pool: Pool) -> float:
        """Return the seconds that a request may wait and still be on time."""
        service_s = self._limits.estimate_service(pool)
        return (
            deadline.remaining(self._clock)
            - service_s * self._rules.service_margin
        )

    def refuse_late(self) -> OverloadedError:
        """Return the error for a request that has waited in vain."""
        return OverloadedError(
            'the queue was slower than estimated and the deadline is too near',
            retry_after_s=_MIN_RETRY_S,
        )

    def _refuse(self, caller: str, excess_s: float) -> None:
        retry_after_s = min(_MAX_RETRY_S, max(_MIN_RETRY_S, excess_s))
        waiting = self._queue.count_caller(caller)
        callers = max(1, self._queue.count_callers())
        if callers > 1 and waiting * callers > len(self._queue):
            raise FairShareError(
                'the caller has more requests waiting than its share',
                retry_after_s=retry_after_s,
            )
        raise OverloadedError(
            'the request could not be answered by its deadline',
            retry_after_s=retry_after_s,
        )
