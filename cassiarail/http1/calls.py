"""Make single calls to a server through a pool of connections."""

import asyncio
from typing import NamedTuple

from cassiarail.core.exceptions import ConnectionLostError
from cassiarail.http1.messages import (
    RequestHead,
    ResponseHead,
    read_keep_alive,
)
from cassiarail.http1.pool import Address, ConnectionPool

_MAX_BODY_BYTES = 8_388_608


class ServerResponse(NamedTuple):
    """Hold a whole answer."""

    status: int
    body: bytes


async def call_server(
    pool: ConnectionPool,
    address: Address,
    request: tuple[RequestHead, bytes],
    timeout_s: float,
) -> ServerResponse:
    """Send a request and return the whole answer.

    Raises ``ConnectFailedError`` if no byte left, and ``ConnectionLostError``
    if the answer was lost or didn't come within ``timeout_s``.
    """
    connection = await pool.acquire(address)
    try:
        async with asyncio.timeout(timeout_s):
            connection.send(*request)
            head = await connection.read_head(_accept_any)
            body = await connection.read_body(_MAX_BODY_BYTES)
    except TimeoutError as error:
        pool.discard(connection, 'no answer in time')
        raise ConnectionLostError(f'{address}: no answer in time') from error
    except BaseException:
        pool.discard(connection, 'call failed')
        raise
    connection.keep_alive_s = read_keep_alive(head.headers)
    pool.release(connection)
    return ServerResponse(head.status, body)


def _accept_any(_head: ResponseHead) -> bool:
    return True
