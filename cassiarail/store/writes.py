"""Write objects conditionally and resolve writes without a response.

Each write stores a unique token in the document, together with the tokens of
earlier writes. If a response is lost, the object is read back: a write whose
token is found took effect, even if others wrote after it.
"""

import random
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from cassiarail.core.backoff import Backoff
from cassiarail.core.clock import Clock
from cassiarail.core.events import emit_event
from cassiarail.core.exceptions import (
    StoreError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    VersionConflictError,
)
from cassiarail.store.backends.base import ObjectStore, StoredObject
from cassiarail.store.events import WRITE_RESOLVED

Document = Mapping[str, Any]
TOKEN_KEY = 'token'  # noqa: S105 - names a key of a document
EARLIER_TOKENS_KEY = 'earlier_tokens'
# A read-back finds a write among this many earlier writes of all writers.
# After more writes the outcome is reported as unknown.
TOKEN_HISTORY_LENGTH = 16
_TIMEOUT_S = 5.0
_TOKEN_BITS = 64


class _PendingWrite(NamedTuple):
    """Write to perform; ``base`` is the object that it replaces."""

    kind: str
    name: str
    document: Document
    base: StoredObject | None

    @property
    def token(self) -> str:
        return str(self.document[TOKEN_KEY])


class ConditionalWriter:
    """Create, replace and update objects exactly once."""

    def __init__(
        self,
        store: ObjectStore,
        clock: Clock,
        generator: random.Random,
        timeout_s: float = _TIMEOUT_S,
    ) -> None:
        """Retry a write for at most ``timeout_s`` seconds."""
        self.store = store
        self._clock = clock
        self._generator = generator
        self._timeout_s = timeout_s
        self._backoff = Backoff()

    async def create(
        self,
        kind: str,
        name: str,
        document: Document,
    ) -> StoredObject:
        """Create an object; return it as it is stored.

        Raises ``VersionConflictError`` if another writer created it,
        ``StoreUnavailableError`` if it was certainly not created and
        ``StoreOutcomeUnknownError`` if the outcome is unknown.
        """
        with_tokens = self._add_tokens(document, None)
        return await self._write(_PendingWrite(kind, name, with_tokens, None))

    async def replace(
        self,
        base: StoredObject,
        document: Document,
    ) -> StoredObject:
        """Replace an object that was read or written; return the new one.

        The returned object may already include later writes of others.
        Raises the same errors as ``create``.
        """
        with_tokens = self._add_tokens(document, base)
        return await self._write(
            _PendingWrite(base.kind, base.name, with_tokens, base),
        )

    async def update(
        self,
        kind: str,
        name: str,
        change: Callable[[Document | None], Document],
    ) -> StoredObject:
        """Read, change and write an object; retry after conflicting writes.

        The change is applied exactly once. Raises ``StoreUnavailableError``
        or ``StoreOutcomeUnknownError``, and what ``change`` raises.
        """
        attempt = 0
        while True:
            base = await self.store.read(kind, name)
            try:
                return await self._apply(kind, name, base, change)
            except VersionConflictError:
                await self._wait(attempt)
            attempt += 1

    async def _apply(
        self,
        kind: str,
        name: str,
        base: StoredObject | None,
        change: Callable[[Document | None], Document],
    ) -> StoredObject:
        if base is None:
            return await self.create(kind, name, change(None))
        return await self.replace(base, change(base.document))

    async def _write(self, write: _PendingWrite) -> StoredObject:
        expires_at = self._clock.monotonic() + self._timeout_s
        is_uncertain = False
        attempt = 0
        while True:
            written, error = await self._attempt_write(write, is_uncertain)
            if written is not None:
                return written
            is_uncertain = isinstance(error, StoreOutcomeUnknownError)
            if error and self._clock.monotonic() >= expires_at:
                raise error
            await self._wait(attempt)
            attempt += 1

    async def _attempt_write(
        self,
        write: _PendingWrite,
        is_uncertain: bool,
    ) -> tuple[StoredObject | None, StoreError | None]:
        """Return the written object, or the error that a retry may resolve.

        Once the outcome of an earlier attempt is unknown, neither a conflict
        nor an unavailable store resolves it.
        """
        try:
            return await self._send(write), None
        except (VersionConflictError, StoreUnavailableError) as error:
            if not is_uncertain:
                return None, _raise_if_conflict(error)
        except StoreOutcomeUnknownError:
            pass  # noqa: WPS420 - resolved below
        return (
            await self._read_back(write),
            StoreOutcomeUnknownError(
                f'{write.kind}/{write.name}: the response was lost',
            ),
        )

    async def _send(self, write: _PendingWrite) -> StoredObject:
        store = self.store
        kind, name, document, base = write
        if base is None:
            version = await store.create(kind, name, document)
        else:
            version = await store.replace(kind, name, document, base.version)
        return StoredObject(kind, name, version, document)

    async def _read_back(self, write: _PendingWrite) -> StoredObject | None:
        """Return the object if the write took effect.

        ``None`` means that it may be sent again: if an earlier copy still
        arrives, only one of them succeeds, as both expect the same version.
        """
        try:
            found = await self.store.read(write.kind, write.name)
        except StoreUnavailableError:
            return None
        resolved = _check_outcome(write, found)
        if resolved is not None:
            emit_event(WRITE_RESOLVED, kind=write.kind, name=write.name)
        return resolved

    async def _wait(self, attempt: int) -> None:
        await self._clock.sleep(self._backoff.delay(attempt, self._generator))

    def _add_tokens(
        self, document: Document, base: StoredObject | None
    ) -> Document:
        token = f'{self._generator.getrandbits(_TOKEN_BITS):016x}'
        earlier = [] if base is None else _list_tokens(base)
        return {
            **document,
            TOKEN_KEY: token,
            EARLIER_TOKENS_KEY: earlier[:TOKEN_HISTORY_LENGTH],
        }


def _raise_if_conflict(error: StoreError) -> StoreError:
    if isinstance(error, VersionConflictError):
        raise error
    return error


def _list_tokens(stored: StoredObject) -> list[str]:
    """Return the tokens of the latest writes, newest first."""
    document = stored.document
    latest = [document[TOKEN_KEY]] if TOKEN_KEY in document else []
    return latest + list(document.get(EARLIER_TOKENS_KEY, ()))


def _check_outcome(
    write: _PendingWrite, found: StoredObject | None
) -> StoredObject | None:
    """Compare a write without a response with the object read back."""
    object_path = f'{write.kind}/{write.name}'
    if found is None:
        if write.base is None:
            return None
        raise StoreOutcomeUnknownError(f'{object_path} was deleted')
    tokens = _list_tokens(found)
    if write.token in tokens:
        return found
    base = write.base
    if base is not None and base.version == found.version:
        return None
    base_tokens = _list_tokens(base) if base else []
    # The write would follow its base in the history, so its absence is
    # certain only while the history includes the base.
    reaches_base = bool(base_tokens) and base_tokens[0] in tokens
    if reaches_base or len(tokens) <= TOKEN_HISTORY_LENGTH:
        raise VersionConflictError(f'{object_path} was written by another')
    raise StoreOutcomeUnknownError(f'{object_path}: too many later writes')
