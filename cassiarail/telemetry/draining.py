"""Answer every request of an ASGI application before its server stops."""

from typing import Any

import anyio
from starlette.responses import JSONResponse

from cassiarail.core.exceptions import CassiarailError, RequestError
from cassiarail.core.verdict import VERDICT_HEADER, Verdict

# A connection delivers a request that it already holds within this time of
# the end of the one before.
_QUIET_PERIOD_S = 0.05
_RETRY_AFTER_S = 1


class StoppingError(RequestError):
    """Report a request that came after its process began to stop."""

    error_id = 'CR3401'
    code = 'stopping'
    status = 503


class DrainExpiredError(RequestError):
    """Report a request that was not complete at the end of a drain."""

    error_id = 'CR3402'
    code = 'drain_expired'
    status = 504
    default_verdict = Verdict.MAY_HAVE_RUN


class Exchange:
    """Hold one request in progress and whether its response has begun."""

    def __init__(self, scope: Any, receive: Any, send: Any) -> None:
        self.cancel_scope = anyio.CancelScope()
        self._scope = scope
        self._receive = receive
        self._send = send
        self._has_begun = False

    async def serve(self, application: Any) -> None:
        """Run the application; answer in its place if it is cancelled."""
        with self.cancel_scope:
            await application(self._scope, self._receive, self._record_and_send)
        if self.cancel_scope.cancelled_caught and not self._has_begun:
            await self.reject(
                DrainExpiredError(
                    'the process stopped before the response began',
                ),
            )

    async def reject(self, error: CassiarailError) -> None:
        """Send an error and close the connection."""
        headers = {'connection': 'close', VERDICT_HEADER: error.verdict.value}
        if error.retry_after_s is not None:
            headers['retry-after'] = str(error.retry_after_s)
        response = JSONResponse(
            {'error': error.describe()}, error.status, headers
        )
        await response(self._scope, self._receive, self._send)

    async def _record_and_send(self, message: Any) -> None:
        self._has_begun = True
        await self._send(message)


class DrainableApplication:
    """Track the requests of an ASGI application, so that they can end."""

    def __init__(self, application: Any) -> None:
        self._application = application
        self._is_draining = False
        self._exchanges: set[Exchange] = set()
        self._changed = anyio.Event()

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one request, or reject it while draining."""
        if scope['type'] != 'http':
            await self._application(scope, receive, send)
            return
        exchange = Exchange(scope, receive, send)
        self._exchanges.add(exchange)
        try:
            await self._serve(exchange)
        finally:
            self._remove(exchange)

    async def drain(self, timeout_s: float) -> None:
        """Reject new requests and end those in progress within a time."""
        self._is_draining = True
        with anyio.move_on_after(timeout_s):
            await self._wait_until_quiet()
        for exchange in self._exchanges:
            exchange.cancel_scope.cancel()

    async def _serve(self, exchange: Exchange) -> None:
        if self._is_draining:
            await exchange.reject(
                StoppingError(
                    'the process is stopping', retry_after_s=_RETRY_AFTER_S
                ),
            )
        else:
            await exchange.serve(self._application)

    def _remove(self, exchange: Exchange) -> None:
        self._exchanges.discard(exchange)
        self._changed.set()
        self._changed = anyio.Event()

    async def _wait_until_quiet(self) -> None:
        await anyio.sleep(_QUIET_PERIOD_S)
        while self._exchanges:
            await self._changed.wait()
            await anyio.sleep(_QUIET_PERIOD_S)
