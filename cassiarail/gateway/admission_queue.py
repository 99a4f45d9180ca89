"""Admit requests by concurrency limit, fair share and deadline."""

import contextlib
from collections.abc import AsyncIterator, Callable, Sequence

import anyio

from cassiarail.core.clock import Clock
from cassiarail.core.deadline import Deadline
from cassiarail.limits.admission import AdmissionEstimator, AdmissionRules
from cassiarail.limits.concurrency import (
    ConcurrencyLimit,
    ConcurrencyLimits,
    ConcurrencyRules,
)
from cassiarail.limits.fairness import (
    FairQueue,
    FindWeight,
    Pool,
    Ticket,
    weigh_equally,
)

_RECHECK_INTERVAL_S = 0.1
Choose = Callable[[Sequence[str]], str]


class Permit:
    """Hold the slot of a request at a target."""

    def __init__(
        self,
        clock: Clock,
        limits: ConcurrencyLimits,
        target: str,
    ) -> None:
        self._clock = clock
        self._limits = limits
        self.target = target
        self._started_at = clock.monotonic()
        self._slot.acquire()

    def move(self, target: str) -> None:
        """Release the slot and acquire one at another target."""
        self._slot.release()
        self.target = target
        self._started_at = self._clock.monotonic()
        self._slot.acquire()

    def record_latency(self) -> None:
        """Record the arrival of the first token or the whole response."""
        self._slot.record_latency(self._clock.monotonic() - self._started_at)

    def record_overload(self) -> None:
        """Record that the target refused as overloaded or timed out."""
        self._slot.record_overload()

    def release(self, *, succeeded: bool) -> None:
        """Release the slot; record the service time of a success."""
        self._slot.release()
        if succeeded:
            seconds = self._clock.monotonic() - self._started_at
            self._slot.record_service(seconds)

    @property
    def _slot(self) -> ConcurrencyLimit:
        return self._limits.find(self.target)


class _Waiter:
    """Hold the state of a request that waits for a permit."""

    def __init__(self, deadline: Deadline, choose: Choose) -> None:
        self.deadline = deadline
        self.choose = choose
        self.decided = anyio.Event()
        self.permit: Permit | None = None
        self.failure: Exception | None = None


class AdmissionQueue:
    """Admit each request to a target with a free slot, in fair order."""

    def __init__(
        self,
        clock: Clock,
        *,
        concurrency: ConcurrencyRules | None = None,
        admission: AdmissionRules | None = None,
        find_weight: FindWeight = weigh_equally,
        ageing_s: float = 1.0,
    ) -> None:
        self._clock = clock
        self.limits = ConcurrencyLimits(clock, concurrency)
        self._queue: FairQueue[_Waiter] = FairQueue(
            clock, find_weight, ageing_s
        )
        self._granted_at = float('-inf')
        self.estimator = AdmissionEstimator(
            clock, self.limits, self._queue, admission
        )

    @property
    def queued(self) -> int:
        """Return the number of waiting requests."""
        return len(self._queue)

    @contextlib.asynccontextmanager
    async def admit(
        self,
        caller: str,
        priority: int,
        deadline: Deadline,
        candidates: Sequence[str],
        choose: Choose | None = None,
        preferred: Sequence[str] = (),
    ) -> AsyncIterator[Permit]:
        """Wait for a slot and hold it while the block runs.

        ``choose`` selects one of the names with a free slot; by default the
        one with the fewest requests in flight. ``preferred`` are the targets
        that cache the request's prefix; others are used only after they have
        been free for a short time. Raises ``OverloadedError``, before the
        request has run, if no response would arrive by its deadline. A block
        that raises counts as failed.
        """
        permit = await self._obtain(
            caller,
            priority,
            deadline,
            Pool(tuple(candidates), tuple(preferred)),
            choose or self._choose_least_loaded,
        )
        succeeded = False
        try:
            yield permit
            succeeded = True
        finally:
            permit.release(succeeded=succeeded)
            self._grant_free()

    async def _obtain(
        self,
        caller: str,
        priority: int,
        deadline: Deadline,
        pool: Pool,
        choose: Choose,
    ) -> Permit:
        self.estimator.check_new(caller, priority, deadline, pool)
        waiter = _Waiter(deadline, choose)
        ticket = self._queue.push(caller, priority, pool, waiter)
        self._grant_free()
        try:
            await self._wait(ticket)
        except BaseException:
            self._abandon(ticket)
            raise
        if waiter.failure is not None:
            raise waiter.failure
        if waiter.permit is None:
            raise self.estimator.make_late_error()
        return waiter.permit

    async def _wait(self, ticket: Ticket[_Waiter]) -> None:
        waiter = ticket.payload
        max_wait_s = self.estimator.find_max_wait(waiter.deadline, ticket.pool)
        with anyio.move_on_after(max_wait_s):
            while not waiter.decided.is_set():
                with anyio.move_on_after(_RECHECK_INTERVAL_S):
                    await waiter.decided.wait()
                self._grant_expired_holds()
        if not waiter.decided.is_set():
            waiter.decided.set()
            self._queue.remove(ticket)

    def _abandon(self, ticket: Ticket[_Waiter]) -> None:
        """Undo the wait of a cancelled request."""
        waiter = ticket.payload
        if not waiter.decided.is_set():
            self._queue.remove(ticket)
        elif waiter.permit is not None:
            waiter.permit.release(succeeded=False)
            self._grant_free()

    def _grant_expired_holds(self) -> None:
        """Grant slots whose hold for preferred requests has expired.

        All waiting requests call this; one pass serves those that wake at
        the same time.
        """
        if (
            self._clock.monotonic() - self._granted_at
            >= _RECHECK_INTERVAL_S / 2
        ):
            self._grant_free()

    def _grant_free(self) -> None:
        """Grant free slots to waiting requests in fair order."""
        self._granted_at = self._clock.monotonic()
        while True:
            ticket = self._queue.pop(
                pool
                for pool in self._queue.list_pools()
                if self.limits.list_free(pool)
            )
            if ticket is None:
                return
            waiter = ticket.payload
            if self.estimator.check_waited(ticket, waiter.deadline):
                self._grant(ticket)
            waiter.decided.set()

    def _grant(self, ticket: Ticket[_Waiter]) -> None:
        """Acquire a slot; an error of ``choose`` fails only this request."""
        waiter = ticket.payload
        free = self.limits.list_free(ticket.pool)
        try:
            target = waiter.choose(free)
        except Exception as error:
            waiter.failure = error
        else:
            waiter.permit = Permit(self._clock, self.limits, target)

    def _choose_least_loaded(self, names: Sequence[str]) -> str:
        return min(names, key=lambda name: self.limits.find(name).in_flight)
