"""Serve the readiness and the metrics of this host."""

import abc
import http
from collections.abc import Callable, Mapping

from prometheus_client import CollectorRegistry

from cassiarail.conf.global_defaults import (
    STATUS_BODY_MAX_BYTES,
    STATUS_CONNECTIONS_MAX,
    STATUS_MEMORY_BYTES,
)
from cassiarail.core.lifecycle import Component
from cassiarail.http1.assembly import ClientLimits
from cassiarail.http1.client_memory import build_client_memory
from cassiarail.http1.exchanges import Exchange
from cassiarail.http1.listener import Http1Listener
from cassiarail.http1.pool import Address
from cassiarail.telemetry.metrics import CONTENT_TYPE, render_metrics

_LIMITS = ClientLimits(body_max_bytes=STATUS_BODY_MAX_BYTES)


class StatusListener(Component):
    """Serve the platform's requests on one path."""

    def __init__(self, name: str, address: Address, path: str) -> None:
        self.name = name
        self._path = path.encode()
        self._listener = Http1Listener(
            address,
            self._dispatch,
            lambda: _LIMITS,
            memory=build_client_memory(STATUS_MEMORY_BYTES),
            max_connections=STATUS_CONNECTIONS_MAX,
        )

    @property
    def limit_counts(self) -> Mapping[str, int]:
        """Return how often connections have reached each limit."""
        return self._listener.limit_counts

    async def start(self) -> None:
        """Start listening."""
        await self._listener.start()

    async def run(self) -> None:
        """Return immediately; the listener works by callbacks."""

    async def stop(self) -> None:
        """Close all connections."""
        self._listener.stop()

    @abc.abstractmethod
    def respond(self, exchange: Exchange) -> None:
        """Respond to a request on the path."""

    async def _dispatch(self, exchange: Exchange) -> None:
        if exchange.head.target.partition(b'?')[0] == self._path:
            self.respond(exchange)
        else:
            exchange.respond(http.HTTPStatus.NOT_FOUND, [], b'')


class ReadinessListener(StatusListener):
    """Report whether this host accepts callers' connections."""

    def __init__(
        self,
        address: Address,
        path: str,
        is_ready: Callable[[], bool],
    ) -> None:
        super().__init__('readiness', address, path)
        self._is_ready = is_ready

    def respond(self, exchange: Exchange) -> None:
        """Respond with 200 or 503."""
        if self._is_ready():
            exchange.respond(http.HTTPStatus.OK, [], b'ready')
        else:
            status = http.HTTPStatus.SERVICE_UNAVAILABLE
            exchange.respond(status, [], b'not ready')


class MetricsListener(StatusListener):
    """Serve the metrics of a registry as text."""

    def __init__(
        self,
        address: Address,
        path: str,
        registry: CollectorRegistry,
        refresh: Callable[[], None],
    ) -> None:
        """Call ``refresh`` before each response."""
        super().__init__('metrics', address, path)
        self._registry = registry
        self._refresh = refresh

    def respond(self, exchange: Exchange) -> None:
        """Respond with all metrics."""
        self._refresh()
        exchange.respond(
            http.HTTPStatus.OK,
            [(b'content-type', CONTENT_TYPE.encode())],
            render_metrics(self._registry),
        )
