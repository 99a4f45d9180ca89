"""Gather one request within the limits for clients."""

import http
from typing import NamedTuple

import h11

from cassiarail.http1.messages import RequestHead

# A request with both is framed differently by different parsers.
_AMBIGUOUS = frozenset((b'content-length', b'transfer-encoding'))


class ClientLimits(NamedTuple):
    """Bound what clients may send and how long they may take."""

    head_max_bytes: int = 16_384
    body_max_bytes: int = 4_194_304
    read_timeout_s: float = 3.0
    idle_s: float = 15.0


class UnreadRequestError(Exception):
    """Report a request that is not read to its end."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


class RequestAssembler:
    """Join the parts of a request as the parser gives them."""

    def __init__(self) -> None:
        self.head = RequestHead(b'', b'', [])
        self.body = b''
        self._pieces: list[bytes] = []
        self._size = 0

    def begin(self, event: h11.Request, limits: ClientLimits) -> None:
        """Take the head; raise ``UnreadRequestError`` beyond a limit."""
        self.head = RequestHead(
            bytes(event.method),
            bytes(event.target),
            list(event.headers),
        )
        self._pieces = []
        self._size = 0
        names = {name for name, _text in self.head.headers}
        size = len(self.head.target) + sum(
            len(name) + len(text) for name, text in self.head.headers
        )
        if size > limits.head_max_bytes:
            raise UnreadRequestError(
                http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                'head is too large',
            )
        if names >= _AMBIGUOUS:
            raise UnreadRequestError(
                http.HTTPStatus.BAD_REQUEST,
                'body is framed twice',
            )

    def add(self, piece: bytes, limits: ClientLimits) -> None:
        """Take bytes of the body; raise ``UnreadRequestError``."""
        self._size += len(piece)
        self._pieces.append(piece)
        if self._size > limits.body_max_bytes:
            raise UnreadRequestError(
                http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                'body is too large',
            )

    def finish(self) -> None:
        """Join the body."""
        self.body = b''.join(self._pieces)
        self._pieces = []
