"""Let requests wait until an engine holds what they need.

Answers the load of models that are asked for rarely: they are swapped in
when they are asked for, and a request waits only if that can still help it.
"""

import asyncio
import collections
from collections.abc import Callable, Iterator
from typing import NamedTuple

from cassiarail.edge.targets import Want


class WaitingRequests(NamedTuple):
    """Count the requests that wait for a model or adapter of a service."""

    service: str
    variant: Want
    waiting: int


class PlacementWaits:
    """Wake requests when the holdings of targets change."""

    def __init__(self, on_want: Callable[[], None]) -> None:
        """Call ``on_want`` when the first request waits for something."""
        self._on_want = on_want
        self._waiting: collections.Counter[tuple[str, Want]] = (
            collections.Counter()
        )
        self._changed = asyncio.Event()
        self._is_closed = False

    def __iter__(self) -> Iterator[WaitingRequests]:
        for (service, variant), count in self._waiting.items():
            yield WaitingRequests(service, variant, count)

    def close(self) -> None:
        """Let no request wait any longer; this host is stopping."""
        self._is_closed = True
        self.wake()

    def wake(self) -> None:
        """Let all waiting requests look at the targets again."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait(
        self,
        service: str,
        variant: Want,
        is_there: Callable[[], bool],
        timeout_s: float,
    ) -> bool:
        """Wait until something is there; tell whether it came in time."""
        key = (service, variant)
        self._waiting[key] += 1
        if self._waiting[key] == 1:
            self._on_want()
        try:
            async with asyncio.timeout(timeout_s):
                while not (self._is_closed or is_there()):
                    await self._changed.wait()
        except TimeoutError:
            return False
        finally:
            self._waiting[key] -= 1
            if not self._waiting[key]:
                self._waiting.pop(key)
        return not self._is_closed or is_there()
