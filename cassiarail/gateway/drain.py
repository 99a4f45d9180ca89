"""Count the requests in progress, cancel them, and drain them at a stop."""

import contextlib
from collections.abc import Iterator

import anyio

from cassiarail.core.events import emit_event
from cassiarail.core.lifecycle import Component
from cassiarail.gateway.events import DRAIN_EXPIRED, DRAIN_STARTED

_DRAIN_TIMEOUT_S = 120


class RunningRequest:
    """Hold one request in progress and why it was cancelled."""

    def __init__(self, request_id: str) -> None:
        self.request_id = request_id
        self.caller = ''
        self.scope = anyio.CancelScope()
        self.is_cancelled = False
        self.is_disconnected = False

    def cancel(self) -> None:
        """Cancel on the request of its caller."""
        self.is_cancelled = True
        self.scope.cancel()

    def abandon(self) -> None:
        """Cancel because the caller's connection is gone."""
        self.is_disconnected = True
        self.scope.cancel()


class RequestRegistry(Component):
    """Know every request in progress; refuse new ones when draining."""

    name = 'requests'

    def __init__(self, drain_limit_s: float = _DRAIN_TIMEOUT_S) -> None:
        self.is_draining = False
        self._drain_limit_s = drain_limit_s
        self._running: dict[str, RunningRequest] = {}
        self._changed = anyio.Event()

    @property
    def count(self) -> int:
        """Return the number of requests in progress."""
        return len(self._running)

    @contextlib.contextmanager
    def track(self, request_id: str) -> Iterator[RunningRequest]:
        """Count a request while the block runs."""
        running = RunningRequest(request_id)
        self._running[request_id] = running
        try:
            yield running
        finally:
            self._remove(request_id)

    def find(self, request_id: str, caller: str) -> RunningRequest | None:
        """Return a request in progress of a caller, and of nobody else."""
        running = self._running.get(request_id)
        if running is None or running.caller != caller:
            return None
        return running

    async def run(self) -> None:
        """Have nothing to do; requests run in the server's tasks."""

    async def drain(self) -> None:
        """Refuse new requests and wait for those in progress."""
        self.is_draining = True
        emit_event(DRAIN_STARTED, in_progress=self.count)
        with anyio.move_on_after(self._drain_limit_s):
            while self._running:
                await self._changed.wait()
        if self._running:
            emit_event(DRAIN_EXPIRED, in_progress=self.count)

    def is_ready(self) -> bool:
        """Tell whether new requests are accepted."""
        return not self.is_draining

    def _remove(self, request_id: str) -> None:
        self._running.pop(request_id)
        self._changed.set()
        self._changed = anyio.Event()
