"""Take callers' connections, and leave them in an orderly way."""

from collections.abc import Callable
from typing import NamedTuple

from cassiarail.core.clock import Clock
from cassiarail.core.events import emit_event
from cassiarail.core.lifecycle import Component
from cassiarail.edge.configuration import CurrentConfiguration
from cassiarail.edge.events import DRAIN_BEGINS, DRAIN_ENDS, REQUEST_UNREAD
from cassiarail.edge.forwarding import Forwarder
from cassiarail.edge.metrics import EdgeMetrics
from cassiarail.http1.listener import Http1Listener
from cassiarail.http1.pool import Address

_STEP_S = 0.1


class DrainRules(NamedTuple):
    """Hold the times of a planned stop in seconds after its signal.

    Callers' connections come for ``announce_s`` after the host says that it
    is not ready; from then on, idle connections are closed and new requests
    are turned away. ``limit_s`` ends what is still in progress.
    """

    limit_s: float
    announce_s: float = 2.6


class CallerFront(Component):
    """Listen for callers and hand their requests to the forwarder."""

    name = 'callers'

    def __init__(
        self,
        address: Address,
        forwarder: Forwarder,
        configuration: CurrentConfiguration,
        metrics: EdgeMetrics,
        clock: Clock,
        rules: Callable[[], DrainRules],
    ) -> None:
        self.is_draining = False
        self._forwarder = forwarder
        self._metrics = metrics
        self._clock = clock
        self._rules = rules
        self._listener = Http1Listener(
            address,
            forwarder.forward,
            configuration.limits,
            self._count_unread,
        )

    async def start(self) -> None:
        """Begin to listen."""
        await self._listener.start()

    async def run(self) -> None:
        """Wait; the listener works by callbacks."""
        while True:
            await self._clock.sleep(1)

    async def drain(self) -> None:
        """Finish the requests in progress while callers move away."""
        self.is_draining = True
        self._listener.is_draining = True
        rules = self._rules()
        begun = self._clock.monotonic()
        emit_event(DRAIN_BEGINS, in_progress=self._listener.in_progress)
        while self._clock.monotonic() - begun < rules.limit_s:
            if self._clock.monotonic() - begun >= rules.announce_s:
                self._forwarder.refuse_new()
                self._listener.close_idle()
                if not self._listener.in_progress:
                    break
            await self._clock.sleep(_STEP_S)
        emit_event(DRAIN_ENDS, in_progress=self._listener.in_progress)

    async def stop(self) -> None:
        """Close all connections."""
        self._listener.stop()

    def _count_unread(self, status: int, reason: str) -> None:
        self._metrics.count_unread(status)
        emit_event(REQUEST_UNREAD, status=status, reason=reason)
