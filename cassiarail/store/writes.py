"""Write objects conditionally and settle writes whose answer was lost.

Each write puts a unique token into the document, and keeps the tokens of the
writes before it. A lost answer is settled by reading the object back: a write
whose token is found took effect, even if others wrote after it.
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
from cassiarail.store.events import WRITE_SETTLED

Document = Mapping[str, Any]
TOKEN_KEY = 'token'  # noqa: S105 - names a key of a document
EARLIER_TOKENS_KEY = 'earlier_tokens'
# A settling read finds a write among the last writes of all writers. Beyond
# this number the outcome is reported as unknown.
KEPT_TOKENS = 16
_PATIENCE_S = 5.0
_TOKEN_BITS = 64


class _Intent(NamedTuple):
    """Hold one write; ``base`` is the object that it replaces."""

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
        patience_s: float = _PATIENCE_S,
    ) -> None:
        """Retry a write for at most ``patience_s`` seconds."""
        self.store = store
        self._clock = clock
        self._generator = generator
        self._patience_s = patience_s
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
        ``StoreOutcomeUnknownError`` if that can't be told.
        """
        stamped = self._stamp(document, None)
        return await self._write(_Intent(kind, name, stamped, None))

    async def replace(
        self,
        base: StoredObject,
        document: Document,
    ) -> StoredObject:
        """Replace an object that was read or written; return the new one.

        The returned object may already hold later writes of others. Raises
        as ``create`` does.
        """
        stamped = self._stamp(document, base)
        return await self._write(
            _Intent(base.kind, base.name, stamped, base),
        )

    async def update(
        self,
        kind: str,
        name: str,
        change: Callable[[Document | None], Document],
    ) -> StoredObject:
        """Read, change and write an object until no other write intervenes.

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

    async def _write(self, intent: _Intent) -> StoredObject:
        expires_at = self._clock.monotonic() + self._patience_s
        is_uncertain = False
        attempt = 0
        while True:
            written, failure = await self._try_once(intent, is_uncertain)
            if written is not None:
                return written
            is_uncertain = isinstance(failure, StoreOutcomeUnknownError)
            if failure and self._clock.monotonic() >= expires_at:
                raise failure
            await self._wait(attempt)
            attempt += 1

    async def _try_once(
        self,
        intent: _Intent,
        is_uncertain: bool,
    ) -> tuple[StoredObject | None, StoreError | None]:
        """Return the written object, or why a retry may be needed.

        Once an earlier attempt is uncertain, neither a conflict nor an
        unavailable store makes the write certain again.
        """
        try:
            return await self._send(intent), None
        except (VersionConflictError, StoreUnavailableError) as error:
            if not is_uncertain:
                return None, _refuse_conflict(error)
        except StoreOutcomeUnknownError:
            pass  # noqa: WPS420 - settled below
        return (
            await self._settle(intent),
            StoreOutcomeUnknownError(
                f'{intent.kind}/{intent.name}: the answer was lost',
            ),
        )

    async def _send(self, intent: _Intent) -> StoredObject:
        store = self.store
        kind, name, document, base = intent
        if base is None:
            version = await store.create(kind, name, document)
        else:
            version = await store.replace(kind, name, document, base.version)
        return StoredObject(kind, name, version, document)

    async def _settle(self, intent: _Intent) -> StoredObject | None:
        """Return the object if the write took effect.

        ``None`` means that it may be sent again: a copy that is still on its
        way fails, because both expect the same version.
        """
        try:
            found = await self.store.read(intent.kind, intent.name)
        except StoreUnavailableError:
            return None
        settled = _judge(intent, found)
        if settled is not None:
            emit_event(WRITE_SETTLED, kind=intent.kind, name=intent.name)
        return settled

    async def _wait(self, attempt: int) -> None:
        await self._clock.sleep(self._backoff.delay(attempt, self._generator))

    def _stamp(self, document: Document, base: StoredObject | None) -> Document:
        token = f'{self._generator.getrandbits(_TOKEN_BITS):016x}'
        earlier = [] if base is None else _list_tokens(base)
        return {
            **document,
            TOKEN_KEY: token,
            EARLIER_TOKENS_KEY: earlier[:KEPT_TOKENS],
        }


def _refuse_conflict(error: StoreError) -> StoreError:
    if isinstance(error, VersionConflictError):
        raise error
    return error


def _list_tokens(stored: StoredObject) -> list[str]:
    """Return the tokens of the latest writes, newest first."""
    document = stored.document
    latest = [document[TOKEN_KEY]] if TOKEN_KEY in document else []
    return latest + list(document.get(EARLIER_TOKENS_KEY, ()))


def _judge(intent: _Intent, found: StoredObject | None) -> StoredObject | None:
    """Compare an unanswered write with the object that was read back."""
    label = f'{intent.kind}/{intent.name}'
    if found is None:
        if intent.base is None:
            return None
        raise StoreOutcomeUnknownError(f'{label} was deleted')
    tokens = _list_tokens(found)
    if intent.token in tokens:
        return found
    base = intent.base
    if base is not None and base.version == found.version:
        return None
    base_tokens = _list_tokens(base) if base else []
    # The write would stand after its base in the history, so it is absent for
    # certain only while the history reaches back to the base.
    reaches_base = bool(base_tokens) and base_tokens[0] in tokens
    if reaches_base or len(tokens) <= KEPT_TOKENS:
        raise VersionConflictError(f'{label} was written by another')
    raise StoreOutcomeUnknownError(f'{label}: too many later writes')
