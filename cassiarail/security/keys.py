"""Identify callers by their API keys."""

import hashlib
import hmac
from collections.abc import Sequence

from cassiarail.declarations.schema import CallerDocument

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


class KeyRing:
    """Hold the digests of all callers' keys."""

    def __init__(self, callers: Sequence[CallerDocument]) -> None:
        self._entries = [
            (digest.lower().encode(), caller)
            for caller in callers
            for digest in caller['key_digests']
        ]

    def find_caller(self, key: str) -> CallerDocument | None:
        """Return the caller of a key, or ``None``.

        Every digest is compared in constant time, without stopping at the one
        that matches, so that the time taken reveals nothing about the keys.
        """
        presented_digest = compute_key_digest(key).encode()
        found = None
        for digest, caller in self._entries:
            if hmac.compare_digest(digest, presented_digest):
                found = caller
        return found
