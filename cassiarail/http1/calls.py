"""Send single requests to a server through a connection pool."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from cassiarail.core.exceptions import (
    ConnectFailedError,
    ConnectionLostError,
)
from cassiarail.http1.messages import (
    Headers,
    RequestHead,
    ResponseHead,
    read_keep_alive,
)
from cassiarail.http1.pool import Address, ConnectionPool

MAX_BODY_BYTES = 8_388_608


class ServerResponse(NamedTuple):
    """Hold a complete response."""

    status: int
    body: bytes
    headers: Headers


async def call_server(
    pool: ConnectionPool,
    address: Address,
    request: tuple[RequestHead, bytes],
    timeout_s: float,
    may_send: Callable[[], bool] | None = None,
    max_bytes: int = MAX_BODY_BYTES,
    *,
    drop_unsent: bool = False,
) -> ServerResponse:
    """Send a request and return the complete response.

    ``may_send`` is checked right before sending, since opening a connection
    takes time. With ``drop_unsent``, a request without a response is not
    delivered after this call, even if the network was down meanwhile.
    Raises ``ConnectFailedError`` if no byte was sent, and
    ``ConnectionLostError`` if the connection fails or the response isn't
    complete within ``timeout_s``.
    """
    connection = await pool.acquire(address)
    give_up = pool.reset if drop_unsent else pool.discard
    if may_send is not None and not may_send():
        pool.release(connection)
        raise ConnectFailedError(f'{address}: the request is no longer allowed')
    try:
        async with asyncio.timeout(timeout_s):
            connection.send(*request)
            head = await connection.read_head(_accept_any)
            body = await connection.read_body(max_bytes)
    except TimeoutError as error:
        give_up(connection, 'response timed out')
        raise ConnectionLostError(f'{address}: response timed out') from error
    except BaseException:
        give_up(connection, 'request failed')
        raise
    connection.keep_alive_s = read_keep_alive(head.headers)
    pool.release(connection)
    return ServerResponse(head.status, body, head.headers)


def _accept_any(_head: ResponseHead) -> bool:
    return True
