"""Track the requests in progress, cancel them and drain them."""

import contextlib
from collections.abc import Iterator

import anyio

from cassiarail.core.events import emit_event
from cassiarail.core.lifecycle import Component
from cassiarail.gateway.events import DRAIN_EXPIRED, DRAIN_STARTED

# Part of the drain timeout, for the responses of requests that it ends.
_ANSWER_TIMEOUT_S = 0.5


class RunningRequest:
    """Hold one request in progress and the reason of its cancellation."""

    def __init__(self, request_id: str) -> None:
        self.request_id = request_id
        self.caller = ''
        self.scope = anyio.CancelScope()
        self.is_cancelled = False
        self.is_disconnected = False
        self.is_expired = False

    def cancel(self) -> None:
        """Cancel because the caller requested it."""
        self.is_cancelled = True
        self.scope.cancel()

    def abandon(self) -> None:
        """Cancel because the caller disconnected."""
        self.is_disconnected = True
        self.scope.cancel()

    def expire(self) -> None:
        """Cancel because the drain timeout expired."""
        self.is_expired = True
        self.scope.cancel()


class RequestRegistry(Component):
    """Track every request in progress; refuse new ones when draining."""

    name = 'requests'

    def __init__(self, drain_timeout_s: float) -> None:
        self.is_draining = False
        self._drain_timeout_s = drain_timeout_s
        self._running: dict[str, RunningRequest] = {}
        self._changed = anyio.Event()

    @property
    def count(self) -> int:
        """Return the number of requests in progress."""
        return len(self._running)

    @contextlib.contextmanager
    def track(self, request_id: str) -> Iterator[RunningRequest]:
        """Track a request while the block runs."""
        running = RunningRequest(request_id)
        self._running[request_id] = running
        try:
            yield running
        finally:
            self._remove(request_id)

    def find(self, request_id: str, caller: str) -> RunningRequest | None:
        """Return a request in progress if it belongs to the caller."""
        running = self._running.get(request_id)
        if running is None or running.caller != caller:
            return None
        return running

    async def run(self) -> None:
        """Do nothing; requests run in the tasks of the server."""

    async def drain(self) -> None:
        """Refuse new requests and wait for those in progress."""
        self.is_draining = True
        emit_event(DRAIN_STARTED, in_progress=self.count)
        await self._wait_until_idle(self._drain_timeout_s - _ANSWER_TIMEOUT_S)
        if not self._running:
            return
        emit_event(DRAIN_EXPIRED, in_progress=self.count)
        for running in self._running.values():
            running.expire()
        await self._wait_until_idle(_ANSWER_TIMEOUT_S)

    def is_ready(self) -> bool:
        """Return whether new requests are accepted."""
        return not self.is_draining

    async def _wait_until_idle(self, timeout_s: float) -> None:
        with anyio.move_on_after(timeout_s):
            while self._running:
                await self._changed.wait()

    def _remove(self, request_id: str) -> None:
        self._running.pop(request_id)
        self._changed.set()
        self._changed = anyio.Event()
