"""Serve an ASGI application as a component."""

import abc
import ssl
from collections.abc import Iterator
from typing import Any, NamedTuple

import anyio
from prometheus_client import CollectorRegistry
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.registry import Collector

from cassiarail.conf.global_defaults import (
    STATUS_BODY_MAX_BYTES,
    STATUS_CONNECTIONS_MAX,
    STATUS_MEMORY_BYTES,
)
from cassiarail.conf.schema import ListenerSettings
from cassiarail.core.lifecycle import Component
from cassiarail.http1.asgi import AsgiHandler
from cassiarail.http1.assembly import ClientLimits
from cassiarail.http1.client_memory import build_client_memory
from cassiarail.http1.listener import Http1Listener
from cassiarail.http1.pool import Address
from cassiarail.http1.refusals import (
    RefusalRenderer,
    render_plain_refusal,
)
from cassiarail.security.tls import TlsFiles, create_server_context
from cassiarail.telemetry.draining import DrainableApplication

_DRAIN_TIMEOUT_S = 3.0
# Time for clients to read the last responses and close their ends.
_CLOSE_TIMEOUT_S = 1.5
_POLL_INTERVAL_S = 0.02


class ListenerRules(NamedTuple):
    """Limit what the clients of a listener make the process keep and do.

    ``render_refusal`` builds the response to a request that was not read.
    """

    limits: ClientLimits = ClientLimits(body_max_bytes=STATUS_BODY_MAX_BYTES)
    memory_bytes: int = STATUS_MEMORY_BYTES
    connections: int = STATUS_CONNECTIONS_MAX
    drain_timeout_s: float = _DRAIN_TIMEOUT_S
    render_refusal: RefusalRenderer = render_plain_refusal


class LimitedListener(Component):
    """Listen on one address, with limits on what clients may do."""

    @abc.abstractmethod
    def describe_limits(self) -> Iterator[tuple[str, float]]:
        """Yield the name of each limit, and how often it was reached."""


class HttpListener(LimitedListener):
    """Serve an ASGI application until stopped."""

    def __init__(
        self,
        name: str,
        settings: ListenerSettings,
        application: Any,
        rules: ListenerRules | None = None,
    ) -> None:
        self.name = name
        self._rules = rules or ListenerRules()
        self._application = DrainableApplication(application)
        self._tls = _build_tls(settings)
        self._stopped = anyio.Event()
        self._is_started = False
        host, _, port = settings['address'].rpartition(':')
        requests = AsgiHandler(
            self._application, 'http' if self._tls is None else 'https'
        )
        self._listener = Http1Listener(
            Address(host.strip('[]'), int(port)),
            requests.serve,
            self._read_limits,
            memory=build_client_memory(self._rules.memory_bytes),
            max_connections=self._rules.connections,
            render_refusal=self._rules.render_refusal,
        )

    @property
    def port(self) -> int:
        """Return the port that the listener is bound to."""
        return self._listener.port

    def describe_limits(self) -> Iterator[tuple[str, float]]:
        """Yield the name of each limit, and how often it was reached."""
        yield from self._listener.limit_counts.items()
        yield 'memory', self._listener.memory.revoked

    async def start(self) -> None:
        """Bind the address, so that a port in use is reported at startup."""
        await self._listener.start(self._tls)
        self._is_started = True

    async def run(self) -> None:
        """Wait until stopped; the listener works by callbacks."""
        if not self._is_started:
            await self.start()
        await self._stopped.wait()

    async def drain(self) -> None:
        """Answer the requests in progress and close all connections."""
        await self._application.drain(self._rules.drain_timeout_s)
        # Lets the answers to what has been ended be written.
        await anyio.sleep(_POLL_INTERVAL_S)
        self._listener.stop()
        with anyio.move_on_after(_CLOSE_TIMEOUT_S):
            while self._listener.open_connections:  # noqa: ASYNC110 - no event
                await anyio.sleep(_POLL_INTERVAL_S)

    async def stop(self) -> None:
        """Close what is left."""
        self._listener.stop()
        self._stopped.set()

    def _read_limits(self) -> ClientLimits:
        return self._rules.limits


class LimitsCollector(Collector):
    """Report how often the clients of listeners have reached each limit."""

    def __init__(
        self, registry: CollectorRegistry, *listeners: LimitedListener
    ) -> None:
        """Register with the registry of the process."""
        self._listeners = listeners
        registry.register(self)

    def collect(self) -> Iterator[GaugeMetricFamily]:
        """Yield one family with a sample for each listener and limit."""
        family = GaugeMetricFamily(
            'cassiarail_client_limits_reached',
            "Times at which clients' connections reached a limit.",
            labels=['listener', 'limit'],
        )
        for listener in self._listeners:
            for name, count in listener.describe_limits():
                family.add_metric([listener.name, name], count)
        yield family


def _build_tls(settings: ListenerSettings) -> ssl.SSLContext | None:
    certificate = settings.get('certificate_file')
    key = settings.get('private_key_file')
    if certificate is None or key is None:
        return None
    return create_server_context(
        TlsFiles(certificate, key, settings.get('client_ca_file'))
    )
