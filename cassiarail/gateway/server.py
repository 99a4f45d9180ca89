"""Serve ASGI applications on TCP."""

import http
from collections.abc import Callable
from typing import NamedTuple

from prometheus_client import (
    CONTENT_TYPE_LATEST,
    CollectorRegistry,
    generate_latest,
)
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response
from starlette.routing import Route

from cassiarail.conf import global_defaults, schema
from cassiarail.core.exceptions import SettingsError
from cassiarail.http1.assembly import ClientLimits
from cassiarail.security.tls import TlsFiles
from cassiarail.telemetry.listener import HttpListener, ListenerRules

ReadinessProbe = Callable[[], bool]
# Above the limit of the endpoints, whose error response carries a verdict.
_MAX_HEADER_BYTES = 65_536


class ListenerSettings(NamedTuple):
    """Hold the address of a listener; port 0 selects a free port."""

    host: str
    port: int
    tls: TlsFiles | None = None
    header_bytes: int = _MAX_HEADER_BYTES
    drain_timeout_s: float = global_defaults.DRAIN_TIMEOUT_S


class Listener(HttpListener):
    """Serve one ASGI application at one address."""

    def __init__(
        self,
        name: str,
        asgi: Starlette,
        settings: ListenerSettings,
    ) -> None:
        host = f'[{settings.host}]' if ':' in settings.host else settings.host
        address = schema.ListenerSettings(address=f'{host}:{settings.port}')
        if settings.tls is not None:
            address['certificate_file'] = settings.tls.certificate_file
            address['private_key_file'] = settings.tls.key_file
            if settings.tls.ca_file is not None:
                address['client_ca_file'] = settings.tls.ca_file
        super().__init__(
            name,
            address,
            asgi,
            ListenerRules(
                ClientLimits(head_max_bytes=settings.header_bytes),
                global_defaults.CLIENT_MEMORY_BYTES,
                global_defaults.CALLER_CONNECTIONS_MAX,
                settings.drain_timeout_s,
            ),
        )
        self._address = f'{settings.host}:{settings.port}'

    async def start(self) -> None:
        """Bind the address, so that a port in use is reported at startup."""
        try:
            await super().start()
        except OSError as error:
            raise SettingsError(
                f'{self.name} cannot listen at {self._address}: {error}',
            ) from error


class OperatorEndpoints:
    """Serve the health, readiness and metrics of a process."""

    def __init__(
        self,
        is_ready: ReadinessProbe,
        registry: CollectorRegistry,
    ) -> None:
        self._is_ready = is_ready
        self._registry = registry

    async def report_health(self, request: Request) -> Response:
        """Respond that the process is running."""
        return PlainTextResponse('ok\n')

    async def report_readiness(self, request: Request) -> Response:
        """Respond whether the process accepts new work."""
        if self._is_ready():
            return PlainTextResponse('ready\n')
        return PlainTextResponse(
            'not ready\n',
            http.HTTPStatus.SERVICE_UNAVAILABLE,
        )

    async def report_metrics(self, request: Request) -> Response:
        """Return all metrics in the Prometheus text format."""
        return Response(
            generate_latest(self._registry),
            media_type=CONTENT_TYPE_LATEST,
        )


def build_operator_asgi(
    is_ready: ReadinessProbe,
    registry: CollectorRegistry,
) -> Starlette:
    """Return the application that serves operators."""
    endpoints = OperatorEndpoints(is_ready, registry)
    return Starlette(
        routes=[
            Route('/healthz', endpoints.report_health),
            Route('/readyz', endpoints.report_readiness),
            Route('/metrics', endpoints.report_metrics),
        ],
    )
