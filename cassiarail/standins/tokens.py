"""Derive generated text deterministically from the request.

The same request gives the same tokens on every engine, so that an audit can
detect a truncated response or one that belongs to another request.
"""

from collections.abc import Mapping, Sequence
from typing import Any

import msgspec
import xxhash

_TEXT_TOKENS_MIN = 16
_TEXT_TOKENS_RANGE = 496
_TOKEN_VALUES = 65_536
_CHARACTERS_PER_TOKEN = 4


def fingerprint_body(body: Mapping[str, Any]) -> str:
    """Return the hash of the fields that determine a completion's text."""
    determinants = (
        body.get('model'),
        body.get('adapter'),
        body.get('messages'),
        body.get('seed'),
    )
    return xxhash.xxh3_128_hexdigest(msgspec.json.encode(determinants))


def hash_prefix(model: str, messages: Sequence[Mapping[str, Any]]) -> str:
    """Return the key under which engines cache the first message."""
    first_message = str(messages[0].get('content', '')) if messages else ''
    return xxhash.xxh3_64_hexdigest(f'{model}\n{first_message}'.encode())


def count_natural_tokens(fingerprint: str) -> int:
    """Return the length in tokens of a text that no limit truncates."""
    return _TEXT_TOKENS_MIN + xxhash.xxh3_64_intdigest(fingerprint.encode()) % (
        _TEXT_TOKENS_RANGE
    )


def make_token(fingerprint: str, index: int) -> str:
    """Return the token at a zero-based index of a text."""
    digest = xxhash.xxh3_64_intdigest(f'{fingerprint}{index}'.encode())
    return f'{digest % _TOKEN_VALUES:04x} '


def make_text(fingerprint: str, count: int) -> str:
    """Return the first ``count`` tokens of a text, joined."""
    return ''.join(make_token(fingerprint, index) for index in range(count))


def continue_fingerprint(fingerprint: str, count: int, generated: str) -> str:
    """Return the fingerprint with which a resumed text continues.

    If ``generated`` isn't the start of the text, the continuation differs, as
    with a real model.
    """
    if generated == make_text(fingerprint, count):
        return fingerprint
    return xxhash.xxh3_128_hexdigest(f'{fingerprint}{generated}'.encode())


def count_prompt_tokens(text: str) -> int:
    """Return the approximate number of tokens of a prompt."""
    return len(text) // _CHARACTERS_PER_TOKEN + 1
