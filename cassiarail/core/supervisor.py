"""Supervise the tasks of a process as a tree.

A crashed child is restarted with back-off, at a limited rate. Above that
rate the supervisor fails and the error propagates to its parent; at the root
this stops the process and logs an event.
"""

import collections
import random
from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple

import anyio

from cassiarail.core.backoff import Backoff
from cassiarail.core.clock import Clock
from cassiarail.core.events import (
    CHILD_CRASHED,
    CHILD_RESTARTS_EXHAUSTED,
    emit_event,
)
from cassiarail.core.exceptions import CassiarailError


class SupervisionError(CassiarailError):
    """Report a task that exceeded its restart limit."""

    error_id = 'CR0002'
    code = 'supervision_failed'


class ChildSpec(NamedTuple):
    """Describe a supervised task and its restart limit."""

    name: str
    run: Callable[[], Awaitable[None]]
    max_restarts: int = 5
    window_s: float = 30


class Supervisor:
    """Run child tasks and restart the ones that crash."""

    def __init__(
        self,
        name: str,
        children: Sequence[ChildSpec],
        clock: Clock,
        generator: random.Random | None = None,
    ) -> None:
        self.name = name
        self._children = tuple(children)
        self._clock = clock
        self._generator = generator or random.Random()
        self._backoff = Backoff()

    async def run(self) -> None:
        """Run all children until cancelled or until one exceeds its limit.

        A child that returns normally is not restarted.
        """
        async with anyio.create_task_group() as group:
            for child in self._children:
                group.start_soon(self._supervise, child)

    async def _supervise(self, child: ChildSpec) -> None:
        crashes: collections.deque[float] = collections.deque()
        while True:
            try:
                await child.run()
            except Exception as error:
                self._record_crash(child, crashes, error)
            else:
                return
            await self._clock.sleep(
                self._backoff.delay(len(crashes), self._generator),
            )

    def _record_crash(
        self,
        child: ChildSpec,
        crashes: collections.deque[float],
        error: Exception,
    ) -> None:
        now = self._clock.monotonic()
        crashes.append(now)
        while crashes and crashes[0] < now - child.window_s:
            crashes.popleft()
        fields = {
            'supervisor': self.name,
            'child': child.name,
            'error': repr(error),
        }
        if len(crashes) > child.max_restarts:
            emit_event(CHILD_RESTARTS_EXHAUSTED, **fields)
            raise SupervisionError(
                f'{child.name} crashed {len(crashes)} times in'
                f' {child.window_s} s',
            ) from error
        emit_event(CHILD_CRASHED, **fields)
