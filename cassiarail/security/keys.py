"""Identify callers by their API keys."""

import hashlib
import hmac
from collections.abc import Iterable
from typing import Generic, TypeVar

_Owner = TypeVar('_Owner')

_DIGEST_PREFIX = 'sha256:'
_BEARER_SCHEME = 'bearer'


def compute_key_digest(key: str) -> str:
    """Return the digest of a key in the format of declarations."""
    return _DIGEST_PREFIX + hashlib.sha256(key.encode()).hexdigest()


def parse_bearer(header: str | None) -> str | None:
    """Return the key of an Authorization header, or ``None``."""
    scheme, _space, key = (header or '').partition(' ')
    stripped = key.strip()
    if scheme.lower() != _BEARER_SCHEME or not stripped:
        return None
    return stripped


class KeyRing(Generic[_Owner]):
    """Hold the digests of all callers' keys, but none of the keys."""

    def __init__(self, entries: Iterable[tuple[str, _Owner]]) -> None:
        """Take pairs of a key's digest and the owner of the key."""
        self._entries = [
            (digest.lower().encode(), owner) for digest, owner in entries
        ]

    def find_owner(self, key: str) -> _Owner | None:
        """Return the owner of a key, or ``None``.

        Every digest is compared in constant time, without stopping at the one
        that matches, so that the time taken reveals nothing about the keys.
        """
        presented_digest = compute_key_digest(key).encode()
        found = None
        for digest, owner in self._entries:
            if hmac.compare_digest(digest, presented_digest):
                found = owner
        return found
