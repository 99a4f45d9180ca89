"""Turn lost requests of this host into evidence of crashes."""

import asyncio
from collections.abc import Awaitable, Callable, Collection
from typing import NamedTuple

from cassiarail.core.clock import Clock
from cassiarail.core.exceptions import ConnectFailedError
from cassiarail.edge.crashes.quarantines import Quarantines
from cassiarail.edge.registry.targets import Target, TargetDirectory
from cassiarail.edge.requests.jobs import Job
from cassiarail.http1.pool import Address
from cassiarail.limits.crash_evidence import (
    Crash,
    TargetIdentity,
    UnansweredPart,
)

# A response that began only this long before its target was lost doesn't show
# that the target survives it.
_ANSWER_SETTLED_S = 0.1


class LostRequest(NamedTuple):
    """Hold the parts of a request that a target did not answer.

    ``waited_s`` is the time since it was sent. ``rank`` is its urgency; 0 is
    the most urgent.
    """

    parts: Collection[str]
    waited_s: float
    lost_at: float
    rank: int


class CrashObserver:
    """Confirm crashes, and record which parts had no answer then."""

    def __init__(
        self,
        quarantines: Quarantines,
        directory: TargetDirectory,
        connect: Callable[[Address], Awaitable[None]],
        clock: Clock,
    ) -> None:
        """Confirm a crash by ``connect``, which raises if it is refused.

        A reset connection alone shows no crash: targets, links and machines
        between reset some connections and keep others.
        """
        self.quarantines = quarantines
        self._directory = directory
        self._connect = connect
        self._clock = clock
        self._lost: dict[TargetIdentity, list[LostRequest]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def observe_chunk(self, job: Job) -> None:
        """Record an answer as soon as its target has survived its beginning."""
        now = asyncio.get_running_loop().time()
        if job.newest.answer_began_at is None:
            job.newest.answer_began_at = now
        elif job.newest.answer_began_at + _ANSWER_SETTLED_S <= now:
            self.record_answer(job.shared_parts)
            job.newest.answer_began_at = float('-inf')

    def observe_loss(self, job: Job, target: Target) -> None:
        """Record that a target may have crashed at the answer of a request."""
        now = asyncio.get_running_loop().time()
        began_at = job.newest.answer_began_at
        if began_at is None or began_at + _ANSWER_SETTLED_S > now:
            self.record_loss(
                target,
                job.shared_parts,
                now - job.newest.sent_at,
                job.rank,
            )

    def record_answer(self, parts: Collection[str]) -> None:
        """Record that a target survived answering a request."""
        if parts:
            self.quarantines.record_answer(
                parts, self._clock.monotonic(), 'own'
            )

    def record_loss(
        self,
        target: Target,
        parts: Collection[str],
        waited_s: float,
        rank: int,
    ) -> None:
        """Record a request that lost its connection before its answer.

        Targets that leave close their connections too.
        """
        is_leaving = not self._directory.accepts_requests(target)
        if is_leaving or not parts:
            return
        now = self._clock.monotonic()
        lost = LostRequest(parts, waited_s, now, rank)
        pending = self._lost.setdefault(target.identity, [])
        pending.append(lost)
        if len(pending) == 1:
            task = asyncio.create_task(self._confirm(target))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _confirm(self, target: Target) -> None:
        try:
            await self._connect(target.address)
        except ConnectFailedError as error:
            is_crash = error.is_refused
        else:
            is_crash = False
        lost = self._lost.pop(target.identity)
        if is_crash:
            self.quarantines.record_crash(
                _describe_crash(target.identity, lost), 'own'
            )


def _describe_crash(
    identity: TargetIdentity, lost_requests: Collection[LostRequest]
) -> Crash:
    parts: dict[str, UnansweredPart] = {}
    for lost in lost_requests:
        unanswered = UnansweredPart(lost.waited_s, lost.waited_s, lost.rank)
        for part in lost.parts:
            known = parts.get(part, unanswered)
            parts[part] = known.merge(unanswered)
    lost_at = min(lost.lost_at for lost in lost_requests)
    return Crash(identity, lost_at, parts)
