"""Describe to callers why their request was not read."""

import msgspec

from cassiarail.core.exceptions import CassiarailError, RequestError
from cassiarail.core.verdict import VERDICT_HEADER
from cassiarail.gateway.exceptions import (
    BodyTimeoutError,
    BodyTooLargeError,
    HeadersTooLargeError,
    UnreadRequestError,
)
from cassiarail.http1.messages import Headers
from cassiarail.http1.refusals import RefusedRequestError

_KINDS: dict[int, type[CassiarailError]] = {  # noqa: WPS407 - read only
    kind.status: kind
    for kind in (
        BodyTimeoutError,
        BodyTooLargeError,
        HeadersTooLargeError,
        UnreadRequestError,
    )
}


def render_refusal(refusal: RefusedRequestError) -> tuple[Headers, bytes]:
    """Return the headers and the body of an error with a verdict."""
    kind = _KINDS.get(refusal.status, RequestError)
    error = kind(refusal.reason, retry_after_s=refusal.retry_after_s)
    headers = [
        (b'content-type', b'application/json'),
        (VERDICT_HEADER.encode(), error.verdict.value.encode()),
        *refusal.list_headers(),
    ]
    return headers, msgspec.json.encode({'error': error.describe()})
