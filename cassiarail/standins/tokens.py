"""Derive the text that engines generate from the request alone.

The same request gives the same tokens on every engine, so that an audit can
tell a whole and correct answer from a truncated or a foreign one.
"""

from collections.abc import Mapping, Sequence
from typing import Any

import msgspec
import xxhash

_SHORTEST_TOKENS = 16
_LENGTH_SPREAD = 496
_TOKEN_SPREAD = 65_536
_CHARACTERS_PER_TOKEN = 4


def fingerprint_body(body: Mapping[str, Any]) -> str:
    """Return the hash of what determines the text of a completion."""
    parts = (
        body.get('model'),
        body.get('adapter'),
        body.get('messages'),
        body.get('seed'),
    )
    return xxhash.xxh3_128_hexdigest(msgspec.json.encode(parts))


def hash_prefix(model: str, messages: Sequence[Mapping[str, Any]]) -> str:
    """Return the name under which engines cache the first message."""
    first = str(messages[0].get('content', '')) if messages else ''
    return xxhash.xxh3_64_hexdigest(f'{model}\n{first}'.encode())


def count_natural_tokens(fingerprint: str) -> int:
    """Return the number of tokens after which a text ends by itself."""
    return _SHORTEST_TOKENS + xxhash.xxh3_64_intdigest(fingerprint.encode()) % (
        _LENGTH_SPREAD
    )


def make_token(fingerprint: str, index: int) -> str:
    """Return the token of a text at a zero-based index."""
    digest = xxhash.xxh3_64_intdigest(f'{fingerprint}{index}'.encode())
    return f'{digest % _TOKEN_SPREAD:04x} '


def make_text(fingerprint: str, count: int) -> str:
    """Return the first tokens of a text, joined."""
    return ''.join(make_token(fingerprint, index) for index in range(count))


def continue_fingerprint(fingerprint: str, count: int, generated: str) -> str:
    """Return the fingerprint with which a resumed text goes on.

    A text that is resumed after other tokens than its own goes on wrongly, as
    a real model would.
    """
    if generated == make_text(fingerprint, count):
        return fingerprint
    return xxhash.xxh3_128_hexdigest(f'{fingerprint}{generated}'.encode())


def count_prompt_tokens(text: str) -> int:
    """Return the number of tokens of a prompt."""
    return len(text) // _CHARACTERS_PER_TOKEN + 1
