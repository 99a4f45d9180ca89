"""Decode responses of the platform's store, of which a part may be damaged.

Any program may write to the store. An object that can't be decoded must not
hide the others of its page, so such a page is split without being decoded, and
its objects are decoded one by one.
"""

import re
import types
from collections.abc import Iterator
from typing import Any

import msgspec

# Strings, brackets and separators; what is between them needs no attention.
_TOKENS = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{},:]', re.DOTALL)
_DEPTH_CHANGES = types.MappingProxyType(
    {b'[': 1, b'{': 1, b']': -1, b'}': -1},
)
# The fields of an object that are readable as a whole or not at all.
_WHOLE_FIELDS = frozenset(('meta', 'spec', 'status'))


def decode_page(body: bytes) -> Any:
    """Return a decoded response, with ``None`` for unreadable fields.

    Raises ``ValueError`` if it is no JSON at all.
    """
    try:
        return msgspec.json.decode(body)
    except (msgspec.DecodeError, RecursionError):
        return _decode_members(body)


def _decode_members(raw: bytes) -> Any:
    raw = raw.strip()
    if raw.startswith(b'['):
        return [_decode_part(part) for part in _split(raw)]
    if not raw.startswith(b'{'):
        raise ValueError('the response is not JSON')
    members = {}
    for part in _split(raw):
        name, separator, found = _split_name(part)
        if not separator:
            raise ValueError('the response is not JSON')
        is_whole = name in _WHOLE_FIELDS
        members[name] = _decode_part(found, is_whole=is_whole)
    return members


def _decode_part(raw: bytes, *, is_whole: bool = False) -> Any:
    try:
        return msgspec.json.decode(raw)
    except (msgspec.DecodeError, RecursionError):
        is_container = raw.strip().startswith((b'[', b'{'))
        return None if is_whole or not is_container else _decode_members(raw)


def _split_name(member: bytes) -> tuple[str, bytes, bytes]:
    """Return the name of a member, the colon and the remainder."""
    token = _TOKENS.search(member)
    if token is None or not token.group().startswith(b'"'):
        raise ValueError('the response is not JSON')
    name = msgspec.json.decode(token.group(), type=str)
    _space, separator, remainder = member[token.end() :].partition(b':')
    return name, separator, remainder


def _split(raw: bytes) -> Iterator[bytes]:
    """Yield the parts between the commas of an array or an object."""
    depth = 0
    start = 1
    for token in _TOKENS.finditer(raw):
        kind = token.group()
        depth += _DEPTH_CHANGES.get(kind, 0)
        if depth > 1 or (depth == 1 and kind != b','):
            continue
        part = raw[start : token.start()]
        start = token.end()
        if part.strip():
            yield part
        if not depth:
            return
    raise ValueError('the response is cut off')
