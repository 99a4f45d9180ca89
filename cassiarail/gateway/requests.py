"""Parse and validate requests from callers."""

import hashlib
from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple, NotRequired

import msgspec
from typing_extensions import TypedDict

from cassiarail.core.deadline import TIMEOUT_HEADER
from cassiarail.core.validation import CheckIds, DocumentChecker
from cassiarail.gateway.exceptions import (
    InvalidFieldError,
    InvalidJsonError,
    InvalidPathError,
    InvalidTimeoutError,
)

_MAX_PRIORITY = 9
_MAX_TIMEOUT_MS = 3_600_000
_MAX_TIMEOUT_DIGITS = 7
_ROLES = frozenset(('system', 'user', 'assistant', 'tool'))
_DIGEST_BYTES = 16
# Character sequences that a target might decode into another path.
_AMBIGUOUS_SEQUENCES = ('%2f', '%5c', '%00', '%2e', '\\', '#')


class MessageDocument(TypedDict):
    """Hold one message of a conversation."""

    role: str
    content: str  # noqa: WPS110 - the name is part of the protocol


class ChatDocument(TypedDict):
    """Hold the body of a completion request."""

    model: str
    messages: list[MessageDocument]
    adapter: NotRequired[str]
    max_tokens: NotRequired[int]
    stream: NotRequired[bool]
    priority: NotRequired[int]
    seed: NotRequired[int]


class ChatRequest(NamedTuple):
    """Hold a validated completion request.

    ``document`` is sent to the engine.
    """

    model: str
    adapter: str
    stream: bool
    priority: int | None
    max_tokens: int | None
    messages: Sequence[MessageDocument]
    document: Mapping[str, Any]


_CHECKER = DocumentChecker(
    ChatDocument,
    CheckIds('CR3008', 'CR3008', 'CR3008'),
)


def parse_chat(body: bytes) -> ChatRequest:
    """Return a validated completion request.

    Raises ``InvalidJsonError`` or ``InvalidFieldError``, which lists every
    problem in the structure of the body.
    """
    try:
        document = msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidJsonError(f'body is not JSON: {error}') from error
    problems = _CHECKER.check(document)
    if problems:
        lines = [f'{problem.path}: {problem.message}' for problem in problems]
        raise InvalidFieldError('; '.join(lines))
    _check_ranges(document)
    return ChatRequest(
        model=document['model'],
        adapter=document.get('adapter', ''),
        stream=document.get('stream', False),
        priority=document.get('priority'),
        max_tokens=document.get('max_tokens'),
        messages=document['messages'],
        document=document,
    )


def parse_timeout(header: str | None) -> float | None:
    """Return the timeout header in seconds, or ``None`` if absent."""
    if header is None:
        return None
    text = header.strip()
    is_numeric = text.isascii() and text.isdigit()
    if not is_numeric or len(text) > _MAX_TIMEOUT_DIGITS:
        raise InvalidTimeoutError(f'{TIMEOUT_HEADER} is not a whole number')
    milliseconds = int(text)
    if not 0 < milliseconds <= _MAX_TIMEOUT_MS:
        raise InvalidTimeoutError(
            f'{TIMEOUT_HEADER} must be from 1 to {_MAX_TIMEOUT_MS}',
        )
    return milliseconds / 1000


def check_path(raw_path: str) -> str:
    """Return a service path as received, if it is unambiguous.

    The idempotency of a call depends on its path, so a path that the target
    could interpret differently is refused.
    """
    lowered = raw_path.lower()
    if any(sequence in lowered for sequence in _AMBIGUOUS_SEQUENCES):
        raise InvalidPathError('path contains an ambiguous character')
    if not raw_path.isascii() or not raw_path.isprintable():
        raise InvalidPathError('path contains an unprintable character')
    if any(segment in {'', '.', '..'} for segment in raw_path.split('/')[1:]):
        raise InvalidPathError('path contains an empty or relative segment')
    return raw_path


def compute_fingerprint(caller: str, request: ChatRequest) -> str:
    """Return a digest of caller, model, adapter and messages."""
    return _compute_digest(
        [caller, request.model, request.adapter, request.messages],
    )


def compute_prefix(request: ChatRequest) -> str:
    """Return a digest of model, adapter and first message."""
    return _compute_digest(
        [request.model, request.adapter, request.messages[0]]
    )


def _compute_digest(parts: list[Any]) -> str:
    encoded = msgspec.json.encode(parts)
    return hashlib.blake2b(encoded, digest_size=_DIGEST_BYTES).hexdigest()


def _check_ranges(document: ChatDocument) -> None:
    if not document['messages']:
        raise InvalidFieldError('$.messages: at least one is required')
    if not document['model']:
        raise InvalidFieldError('$.model: must not be empty')
    for index, message in enumerate(document['messages']):
        if message['role'] not in _ROLES:
            raise InvalidFieldError(
                f'$.messages[{index}].role: unknown role',
                hint=f'use one of {", ".join(sorted(_ROLES))}',
            )
    if document.get('max_tokens', 1) < 1:
        raise InvalidFieldError('$.max_tokens: must be above zero')
    if not 0 <= document.get('priority', 0) <= _MAX_PRIORITY:
        raise InvalidFieldError(
            f'$.priority: must be from 0 to {_MAX_PRIORITY}',
        )
