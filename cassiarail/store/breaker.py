"""Stop calls to an object API that does not respond.

Each watch, the election and the registration retry on their own. In an outage
they would repeat failing calls several times a second on every host, so one
component checks the object API and the others wait for its verdict.
"""

import anyio

from cassiarail.core.events import emit_event
from cassiarail.store.events import CALLS_RESUMED, CALLS_SUSPENDED


class StoreBreaker:
    """Record failed calls, and release waiting callers after a good check."""

    def __init__(self) -> None:
        self.is_open = False
        self._opened = anyio.Event()
        self._closed = anyio.Event()

    def record_failure(self, reason: str) -> None:
        """Suspend calls until the object API has been checked."""
        if self.is_open:
            return
        self.is_open = True
        self._closed = anyio.Event()
        self._opened.set()
        emit_event(CALLS_SUSPENDED, error=reason)

    def record_success(self) -> None:
        """Resume calls."""
        if not self.is_open:
            return
        self.is_open = False
        self._opened = anyio.Event()
        self._closed.set()
        emit_event(CALLS_RESUMED)

    async def wait_until_closed(self) -> None:
        """Return as soon as calls may be made."""
        while self.is_open:
            await self._closed.wait()

    async def wait_until_opened(self) -> None:
        """Return at the next failure, or at once if calls are suspended."""
        await self._opened.wait()
