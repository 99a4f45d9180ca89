"""Bound the time of requests by their timeouts and by a planned stop.

Times are those of the event loop, in seconds.
"""

import asyncio
import collections
import contextlib
from collections.abc import Iterator

from cassiarail.edge.requests.durations import DurationEstimator
from cassiarail.edge.requests.jobs import Job

# For the refusal of a target whose deadline has passed to arrive.
_ANSWER_MARGIN_S = 0.1
_TIMEOUT_MARGIN_S = 0.01
_NEVER = float('inf')


class Deadlines:
    """Own the time limits of all requests in progress.

    A stop shortens the time that targets are given. What they run already may
    use the time until the stop ends.
    """

    def __init__(self, durations: DurationEstimator) -> None:
        self._durations = durations
        self._stop_ends_at = _NEVER
        self._stop_deadline = _NEVER
        self._timeouts: dict[asyncio.Timeout, Job] = {}

    @property
    def stop_left_s(self) -> float | None:
        """Return the time until the end of a stop, if one has begun."""
        if self._stop_ends_at == _NEVER:
            return None
        return self._stop_ends_at - asyncio.get_running_loop().time()

    def count_waits(self) -> dict[str, int]:
        """Return how many requests in progress wait for what."""
        return dict(
            collections.Counter(
                job.timeline.waits_for.value for job in self._timeouts.values()
            )
        )

    def begin_stop(self, time_left_s: float) -> None:
        """Shorten the deadlines of all requests to the end of a stop."""
        now = asyncio.get_running_loop().time()
        self._stop_ends_at = now + time_left_s
        self._stop_deadline = self._stop_ends_at - _ANSWER_MARGIN_S
        for job in self._timeouts.values():
            self._shorten(job)

    def end_all(self) -> None:
        """End all requests in progress as if they had timed out."""
        now = asyncio.get_running_loop().time()
        for timeout in self._timeouts:
            if not timeout.expired():
                timeout.reschedule(now)

    @contextlib.contextmanager
    def limit(self, job: Job) -> Iterator[asyncio.Timeout]:
        """Provide the timeout of a request while it is in progress."""
        timeout = asyncio.timeout_at(job.times_out_at - _TIMEOUT_MARGIN_S)
        self._timeouts[timeout] = job
        self._shorten(job)
        try:
            yield timeout
        finally:
            self._timeouts.pop(timeout)

    def ends_before(self, job: Job, start_delay_s: float = 0) -> bool:
        """Return whether a stop leaves less time than a request usually takes.

        The request could be sent after ``start_delay_s`` seconds.
        """
        if self._stop_deadline >= job.times_out_at:
            return False
        starts_at = asyncio.get_running_loop().time() + start_delay_s
        usual_s = self._durations.estimate(job.route.name)
        return starts_at + usual_s >= self._stop_deadline

    def _shorten(self, job: Job) -> None:
        job.deadline = min(job.deadline, self._stop_deadline)
