"""Hold the parts of HTTP messages and tell which headers may pass a hop."""

from collections.abc import Iterable
from typing import NamedTuple

Header = tuple[bytes, bytes]
Headers = list[Header]

# RFC 9110, section 7.6.1, and fields that frame or upgrade one connection.
_ONE_HOP = frozenset(
    (
        b'connection',
        b'content-length',
        b'expect',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    ),
)
_KEEP_ALIVE = b'keep-alive'


class RequestHead(NamedTuple):
    """Hold the start of a request; ``target`` is path and query."""

    method: bytes
    target: bytes
    headers: Headers


class ResponseHead(NamedTuple):
    """Hold the start of an answer; header names are in lower case."""

    status: int
    reason: bytes
    headers: Headers


def find_header(headers: Iterable[Header], name: bytes) -> str | None:
    """Return the first value of a header; ``name`` is in lower case."""
    for found, text in headers:
        if found == name:
            return text.decode('latin-1')
    return None


def strip_hop_headers(headers: Headers) -> Headers:
    """Return the headers that concern more than one connection."""
    dropped = _ONE_HOP | _named_by_connection(headers)
    return [header for header in headers if header[0] not in dropped]


def read_keep_alive(headers: Iterable[Header]) -> float | None:
    """Return the idle seconds that a peer announces, if it does."""
    announced = find_header(headers, _KEEP_ALIVE)
    if announced is None:
        return None
    for part in announced.split(','):
        name, _, figure = part.strip().partition('=')
        if name.lower() == 'timeout' and figure.isdecimal():
            return float(figure)
    return None


def _named_by_connection(headers: Headers) -> frozenset[bytes]:
    return frozenset(
        token.strip().lower()
        for name, text in headers
        if name == b'connection'
        for token in text.split(b',')
    )
