"""Answer whether this host is ready, and serve its metrics."""

import http
from collections.abc import Callable

from prometheus_client import CollectorRegistry

from cassiarail.core.lifecycle import Component
from cassiarail.http1.exchanges import Exchange
from cassiarail.http1.listener import Http1Listener
from cassiarail.http1.pool import Address
from cassiarail.telemetry.metrics import CONTENT_TYPE, render_metrics


class StatusListener(Component):
    """Serve one path for questions of the platform."""

    def __init__(
        self,
        name: str,
        address: Address,
        path: str,
        answer: Callable[[Exchange], None],
    ) -> None:
        self.name = name
        self._path = path.encode()
        self._answer = answer
        self._listener = Http1Listener(address, self._handle)

    async def start(self) -> None:
        """Begin to listen."""
        await self._listener.start()

    async def run(self) -> None:
        """Return at once; the listener works by callbacks."""

    async def stop(self) -> None:
        """Close all connections."""
        self._listener.stop()

    async def _handle(self, exchange: Exchange) -> None:
        if exchange.head.target.partition(b'?')[0] == self._path:
            self._answer(exchange)
        else:
            exchange.answer(http.HTTPStatus.NOT_FOUND, [], b'')


def answer_readiness(
    is_ready: Callable[[], bool],
) -> Callable[
    [Exchange],
    None,
]:
    """Return the answer to the question whether this host is ready."""

    def answer(exchange: Exchange) -> None:
        if is_ready():
            exchange.answer(http.HTTPStatus.OK, [], b'ready')
        else:
            status = http.HTTPStatus.SERVICE_UNAVAILABLE
            exchange.answer(status, [], b'not ready')

    return answer


def answer_metrics(
    registry: CollectorRegistry,
    refresh: Callable[[], None],
) -> Callable[[Exchange], None]:
    """Return the answer to the question for metrics."""

    def answer(exchange: Exchange) -> None:
        refresh()
        exchange.answer(
            http.HTTPStatus.OK,
            [(b'content-type', CONTENT_TYPE.encode())],
            render_metrics(registry),
        )

    return answer
