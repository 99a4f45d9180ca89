"""Accept callers' connections and drain them on shutdown."""

from collections.abc import Callable
from typing import NamedTuple

from cassiarail.conf.global_defaults import CALLER_CONNECTIONS_MAX
from cassiarail.core.clock import Clock
from cassiarail.core.events import emit_event
from cassiarail.core.lifecycle import Component
from cassiarail.edge.events import (
    DRAIN_ENDED,
    DRAIN_STARTED,
    LAST_RESPONSES_SENT,
    REQUEST_UNREADABLE,
)
from cassiarail.edge.metrics import EdgeMetrics
from cassiarail.edge.registry.configuration import CurrentConfiguration
from cassiarail.edge.requests.forwarding import Forwarder
from cassiarail.http1.listener import Http1Listener
from cassiarail.http1.pool import Address
from cassiarail.limits.byte_budget import ByteBudget

_POLL_INTERVAL_S = 0.1
# Time to write the last responses, of what the stop time leaves (0.6 s).
_LAST_RESPONSES_S = 0.3
_LAST_POLL_S = 0.02
# Clients send a request soon after they connect, or after the last response.
# Connections that are closed later hardly cross a request.
_REUSE_S = 0.2


class DrainRules(NamedTuple):
    """Define the times of a planned stop, in seconds after its signal.

    Callers still connect for ``announce_s`` after the host reports that it
    is not ready; from then on, idle connections are closed and new requests
    are refused. Requests still in progress after ``limit_s`` are aborted.
    ``signalled_at`` is the monotonic time of the signal, if it is known; by
    default, the stop begins with the drain.
    """

    limit_s: float
    announce_s: float = 2.6
    signalled_at: float | None = None


class CallerListener(Component):
    """Listen for callers and pass their requests to the forwarder."""

    name = 'callers'

    def __init__(
        self,
        address: Address,
        forwarder: Forwarder,
        configuration: CurrentConfiguration,
        metrics: EdgeMetrics,
        clock: Clock,
        rules: Callable[[], DrainRules],
        memory: ByteBudget | None = None,
        max_connections: int = CALLER_CONNECTIONS_MAX,
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
            memory,
            max_connections,
        )

    def refresh_metrics(self) -> None:
        """Update how often callers' connections have reached their limits."""
        self._metrics.set_limit_counts(self.name, self._listener.limit_counts)

    async def start(self) -> None:
        """Start listening."""
        await self._listener.start()

    async def run(self) -> None:
        """Wait; the listener works by callbacks."""
        while True:
            await self._clock.sleep(1)

    async def drain(self) -> None:
        """Finish requests in progress while callers switch to other hosts."""
        self.is_draining = True
        self._listener.is_draining = True
        rules = self._rules()
        started_at = rules.signalled_at
        if started_at is None:
            started_at = self._clock.monotonic()
        elapsed_s = self._clock.monotonic() - started_at
        self._forwarder.deadlines.begin_stop(rules.limit_s - elapsed_s)
        emit_event(
            DRAIN_STARTED,
            in_progress=self._listener.in_progress,
            signal_age_s=elapsed_s,
        )
        while self._clock.monotonic() - started_at < rules.limit_s:
            if self._clock.monotonic() - started_at >= rules.announce_s:
                self._forwarder.refuse_new()
                self._listener.close_idle(_REUSE_S)
                if not self._listener.in_progress:
                    break
            await self._clock.sleep(_POLL_INTERVAL_S)
        emit_event(
            DRAIN_ENDED,
            in_progress=self._listener.in_progress,
            signal_age_s=self._clock.monotonic() - started_at,
            waits=self._forwarder.deadlines.count_waits(),
        )
        await self._end_requests()
        emit_event(
            LAST_RESPONSES_SENT,
            in_progress=self._listener.in_progress,
            signal_age_s=self._clock.monotonic() - started_at,
        )

    async def stop(self) -> None:
        """Close all connections."""
        self._listener.stop()

    async def _end_requests(self) -> None:
        """Respond to the requests that are still in progress."""
        self._forwarder.refuse_new()
        self._forwarder.deadlines.end_all()
        await self._listener.stop_listening()
        self._listener.refuse_unread()
        until = self._clock.monotonic() + _LAST_RESPONSES_S
        while self._clock.monotonic() < until:
            self._listener.close_idle(_REUSE_S)
            if not self._listener.open_connections:
                break
            await self._clock.sleep(_LAST_POLL_S)

    def _count_unread(self, status: int, reason: str) -> None:
        self._metrics.count_unread(status)
        emit_event(REQUEST_UNREADABLE, status=status, reason=reason)
