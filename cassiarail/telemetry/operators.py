"""Serve health, readiness, metrics and status to operators."""

from collections.abc import Callable, Sequence
from typing import Any

import msgspec
from prometheus_client import CollectorRegistry
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from cassiarail.telemetry.metrics import CONTENT_TYPE, render_metrics

StatusSource = Callable[[], Any]
_JSON = 'application/json'
_OK = 200
_UNAVAILABLE = 503


def create_operator_app(
    is_ready: Callable[[], bool],
    registry: CollectorRegistry,
    status: StatusSource,
    routes: Sequence[Route] = (),
) -> Starlette:
    """Return the ASGI application of an operators' listener.

    ``status`` returns a JSON document for ``/v1/status``.
    """
    endpoints = _Endpoints(is_ready, registry, status)
    return Starlette(
        routes=[
            Route('/healthz', endpoints.serve_health),
            Route('/readyz', endpoints.serve_readiness),
            Route('/metrics', endpoints.serve_metrics),
            Route('/v1/status', endpoints.serve_status),
            *routes,
        ],
    )


def build_json_response(document: Any, status_code: int = _OK) -> Response:
    """Return a document as a JSON response."""
    return Response(
        msgspec.json.encode(document),
        status_code,
        media_type=_JSON,
    )


class _Endpoints:
    """Handle the requests of operators and their tools."""

    def __init__(
        self,
        is_ready: Callable[[], bool],
        registry: CollectorRegistry,
        status: StatusSource,
    ) -> None:
        self._is_ready = is_ready
        self._registry = registry
        self._status = status

    async def serve_health(self, request: Request) -> Response:
        return build_json_response({'ok': True})

    async def serve_readiness(self, request: Request) -> Response:
        is_ready = self._is_ready()
        status_code = _OK if is_ready else _UNAVAILABLE
        return build_json_response({'ok': is_ready}, status_code)

    async def serve_metrics(self, request: Request) -> Response:
        return Response(
            render_metrics(self._registry),
            media_type=CONTENT_TYPE,
        )

    async def serve_status(self, request: Request) -> Response:
        return build_json_response(self._status())
