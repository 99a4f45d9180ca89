"""Assemble a request from parser events within the client limits."""

import http
from typing import NamedTuple

import h11

from cassiarail.http1.messages import RequestHead, find_header
from cassiarail.http1.refusals import RefusedRequestError

# Parsers disagree on the body of a request that has both headers.
_CONFLICTING_HEADERS = frozenset((b'content-length', b'transfer-encoding'))

_MAJOR_VERSION = b'1.'
_EMPTY_HEAD = RequestHead(b'', b'', [])
# A pair and two strings of bytes, without the characters (CPython, 64 bits).
_FIELD_BYTES = 160


class ClientLimits(NamedTuple):
    """Limit the size, duration and idle time of client requests."""

    head_max_bytes: int = 16_384
    body_max_bytes: int = 4_194_304
    read_timeout_s: float = 3.0
    idle_s: float = 15.0


class UnreadRequestError(RefusedRequestError):
    """Report a request that was rejected before it was read completely."""


def build_timeout_error() -> UnreadRequestError:
    """Return the refusal of a request whose client is too slow."""
    return UnreadRequestError(
        http.HTTPStatus.REQUEST_TIMEOUT,
        'request was not received in time',
    )


def build_stop_error() -> UnreadRequestError:
    """Return the refusal of a request that is half read as the host stops."""
    return UnreadRequestError(
        http.HTTPStatus.SERVICE_UNAVAILABLE,
        'this host is stopping',
        0,
    )


class RequestAssembler:
    """Assemble a request from the events of the parser."""

    def __init__(self) -> None:
        self.head = _EMPTY_HEAD
        # One buffer for all chunks: an object for each would take many times
        # the bytes of small ones.
        self._body = bytearray()
        self._head_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Return what the head and the body take in memory."""
        # A buffer that grows has an eighth more than its length.
        return self._head_bytes + self._body.__alloc__()

    def begin(self, event: h11.Request, limits: ClientLimits) -> None:
        """Store the head; raise ``UnreadRequestError`` if it is invalid."""
        self.head = RequestHead(
            bytes(event.method),
            bytes(event.target),
            list(event.headers),
        )
        self._body = bytearray()
        if not event.http_version.startswith(_MAJOR_VERSION):
            raise UnreadRequestError(
                http.HTTPStatus.HTTP_VERSION_NOT_SUPPORTED,
                'the HTTP version is not served',
            )
        names = {name for name, _text in self.head.headers}
        size = len(self.head.target) + sum(
            len(name) + len(text) for name, text in self.head.headers
        )
        self._head_bytes = size + _FIELD_BYTES * len(self.head.headers)
        if size > limits.head_max_bytes:
            raise UnreadRequestError(
                http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                'head is too large',
            )
        if names >= _CONFLICTING_HEADERS:
            raise UnreadRequestError(
                http.HTTPStatus.BAD_REQUEST,
                'both Content-Length and Transfer-Encoding are set',
            )
        announced = find_header(self.head.headers, b'content-length')
        if announced is not None and int(announced) > limits.body_max_bytes:
            raise _build_size_error()

    def add(self, chunk: bytes | bytearray, limits: ClientLimits) -> None:
        """Add body bytes; raise ``UnreadRequestError`` above the limit."""
        if len(self._body) + len(chunk) > limits.body_max_bytes:
            raise _build_size_error()
        self._body += chunk

    def discard(self) -> None:
        """Forget what was read of a request."""
        self.head = _EMPTY_HEAD
        self._body = bytearray()
        self._head_bytes = 0

    def finish(self) -> tuple[RequestHead, bytes]:
        """Return the complete request, and keep nothing of it."""
        complete = (self.head, bytes(self._body))
        self.discard()
        return complete


def _build_size_error() -> UnreadRequestError:
    return UnreadRequestError(
        http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        'body is too large',
    )
