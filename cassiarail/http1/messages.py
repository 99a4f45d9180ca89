"""Represent heads of HTTP messages and remove hop-by-hop headers."""

from collections.abc import Iterable
from typing import NamedTuple

Header = tuple[bytes, bytes]
Headers = list[Header]

# RFC 9110, section 7.6.1, and fields for framing or connection upgrades.
_HOP_BY_HOP_HEADERS = frozenset(
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
    """Hold the head of a request; ``target`` is path and query."""

    method: bytes
    target: bytes
    headers: Headers


class ResponseHead(NamedTuple):
    """Hold the head of a response; header names are in lower case."""

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
    """Return the end-to-end headers, without hop-by-hop headers."""
    hop_headers = _HOP_BY_HOP_HEADERS | _list_connection_headers(headers)
    return [header for header in headers if header[0] not in hop_headers]


def read_keep_alive(headers: Iterable[Header]) -> float | None:
    """Return the seconds of the peer's Keep-Alive timeout, if announced."""
    announced = find_header(headers, _KEEP_ALIVE)
    if announced is None:
        return None
    for part in announced.split(','):
        name, _, number = part.strip().partition('=')
        if name.lower() == 'timeout' and number.isdecimal():
            return float(number)
    return None


def _list_connection_headers(headers: Headers) -> frozenset[bytes]:
    return frozenset(
        token.strip().lower()
        for name, text in headers
        if name == b'connection'
        for token in text.split(b',')
    )
