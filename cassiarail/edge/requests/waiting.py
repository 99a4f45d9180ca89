"""Let requests wait until an engine holds the model variant they need.

Rarely requested models are loaded on demand. A request waits only if the
model can be loaded before the request times out.
"""

import asyncio
import collections
import contextlib
from collections.abc import Callable, Iterator
from typing import NamedTuple

from cassiarail.edge.registry.targets import ModelVariant

# A wait is given up at most this long after it has become hopeless.
_RECHECK_S = 0.25


class WaitingRequests(NamedTuple):
    """Count the requests that wait for a model variant of a service."""

    service: str
    variant: ModelVariant
    waiting: int


class PlacementWaits:
    """Wake requests when the holdings of targets change."""

    def __init__(self, on_first_waiter: Callable[[], None]) -> None:
        """Call ``on_first_waiter`` when a request is the first to wait.

        Requests are counted for each service and model variant.
        """
        self._on_first_waiter = on_first_waiter
        self._waiting: collections.Counter[tuple[str, ModelVariant]] = (
            collections.Counter()
        )
        self._changed = asyncio.Event()
        self._is_closed = False

    def __iter__(self) -> Iterator[WaitingRequests]:
        for (service, variant), count in self._waiting.items():
            yield WaitingRequests(service, variant, count)

    def close(self) -> None:
        """End all waits because this host is stopping."""
        self._is_closed = True
        self.wake()

    def wake(self) -> None:
        """Make all waiting requests check the targets again."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_change(self) -> None:
        """Return when the holdings may have changed, or after a short time."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_RECHECK_S):
                await self._changed.wait()

    async def wait(
        self,
        service: str,
        variant: ModelVariant,
        is_available: Callable[[], bool],
        is_hopeless: Callable[[], bool],
    ) -> bool:
        """Wait for a model variant; return whether it is available.

        The wait ends as soon as ``is_hopeless`` returns true.
        """
        key = (service, variant)
        self._waiting[key] += 1
        if self._waiting[key] == 1:
            self._on_first_waiter()
        try:
            while not (self._is_closed or is_available()):
                if is_hopeless():
                    return False
                await self._wait_for_change(is_available)
        finally:
            self._waiting[key] -= 1
            if not self._waiting[key]:
                self._waiting.pop(key)
        return not self._is_closed or is_available()

    async def _wait_for_change(self, is_available: Callable[[], bool]) -> None:
        """Return when a variant is available, or after a short time."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_RECHECK_S):
                while not (self._is_closed or is_available()):
                    await self._changed.wait()
