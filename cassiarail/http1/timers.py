"""Run one callback later, in place of the callback before."""

import asyncio
from collections.abc import Callable


class Timer:
    """Hold the only pending callback of its owner."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._pending: asyncio.TimerHandle | None = None

    def set(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Call back once after ``delay_s``, instead of what was set before."""
        if self._pending is not None:
            self._pending.cancel()
        self._pending = self._loop.call_later(delay_s, callback)

    def cancel(self) -> None:
        """Drop the pending callback, if any."""
        if self._pending is not None:
            self._pending.cancel()
            self._pending = None
