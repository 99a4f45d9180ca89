"""Read request bodies within a size limit and a timeout."""

from collections.abc import Mapping

import anyio
from starlette.types import Receive

from cassiarail.gateway.exceptions import (
    BodyTimeoutError,
    BodyTooLargeError,
    IncompleteBodyError,
)


async def read_body(
    headers: Mapping[str, str],
    receive: Receive,
    limit: int,
    timeout_s: float,
) -> bytes:
    """Return the whole body.

    Raises ``BodyTooLargeError`` above ``limit`` bytes, ``BodyTimeoutError``
    after ``timeout_s`` seconds, and ``IncompleteBodyError`` if the caller
    disconnected.
    """
    content_length = headers.get('content-length', '')
    if content_length.isdigit() and int(content_length) > limit:
        raise BodyTooLargeError(f'body is above {limit} bytes')
    body = None
    with anyio.move_on_after(timeout_s):
        body = await _receive_chunks(receive, limit)
    if body is None:
        raise BodyTimeoutError(f'body was not received in {timeout_s} s')
    return body


async def _receive_chunks(receive: Receive, limit: int) -> bytes:
    chunks = []
    size = 0
    has_more = True
    while has_more:
        message = await receive()
        if message['type'] == 'http.disconnect':
            raise IncompleteBodyError(
                'the caller disconnected before the body was complete'
            )
        chunk = message.get('body', b'')
        size += len(chunk)
        if size > limit:
            raise BodyTooLargeError(f'body is above {limit} bytes')
        chunks.append(chunk)
        has_more = message.get('more_body', False)
    return b''.join(chunks)
