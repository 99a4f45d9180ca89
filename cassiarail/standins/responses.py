"""Build the HTTP responses of the stand-ins."""

from collections.abc import Mapping
from typing import Any

import msgspec
from starlette.requests import Request
from starlette.responses import Response

from cassiarail.core.verdict import VERDICT_HEADER, Verdict

STATUS_OK = 200
STATUS_CREATED = 201
STATUS_ACCEPTED = 202
STATUS_BAD_REQUEST = 400
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409
STATUS_GONE = 410
STATUS_PRECONDITION = 412
STATUS_TOO_LARGE = 413
STATUS_TOO_MANY = 429
STATUS_UNAVAILABLE = 503


class BrokenConnectionError(ConnectionError):
    """Report that the connection of a request breaks, as in a process crash.

    The stand-ins use bare routers, because ``Starlette`` would turn this
    exception into a 500 response.
    """


def build_json_response(
    document: Any,
    status: int = STATUS_OK,
    headers: Mapping[str, str] | None = None,
) -> Response:
    """Return a JSON response."""
    return Response(
        msgspec.json.encode(document),
        status_code=status,
        headers=headers,
        media_type='application/json',
    )


def build_refusal(code: str, status: int = STATUS_UNAVAILABLE) -> Response:
    """Return an error response whose verdict is that nothing ran."""
    return build_json_response(
        {'error': {'code': code, 'message': f'refused: {code}'}},
        status,
        {VERDICT_HEADER: Verdict.NOT_RUN.value},
    )


async def read_json(request: Request) -> dict[str, Any] | None:
    """Return the request body if it is a JSON object, else ``None``."""
    try:
        document = msgspec.json.decode(await request.body())
    except msgspec.DecodeError:
        return None
    return document if isinstance(document, dict) else None
