"""Store the ledgers of a data centre in the object API."""

import functools
from collections.abc import Callable, Iterable
from typing import cast

from cassiarail.control.ledger import (
    LEDGER_KIND,
    LedgerDocument,
    TargetSpec,
    apply_spec,
    create_ledger,
    raise_fence,
    require_capacity,
)
from cassiarail.core.exceptions import (
    StaleFenceError,
    StoreError,
    VersionConflictError,
)
from cassiarail.core.invariants import Invariants
from cassiarail.store.backends.base import StoredObject
from cassiarail.store.writes import ConditionalWriter


class LedgerStore:
    """Write the ledgers of the targets with one fencing token.

    The store caches each ledger with its version. A write succeeds only if
    the stored version is unchanged, so that a lease holder with an older
    token can't write once a later one has raised the token.
    """

    def __init__(
        self,
        writer: ConditionalWriter,
        invariants: Invariants,
        fence: int,
    ) -> None:
        """Set the fencing token of one leadership term."""
        self.fence = fence
        self._writer = writer
        self._invariants = invariants
        self._cached: dict[str, StoredObject] = {}

    async def take_over(self, specs: Iterable[TargetSpec]) -> None:
        """Raise the token in ledgers not yet taken over; apply the specs.

        Raises ``StaleFenceError`` if a later lease holder took one over, and
        ``StoreError``; then call it again before any other method.
        """
        for spec in specs:
            if spec.name not in self._cached:
                await self._take_over_ledger(spec)
            await self.change(
                spec.name,
                functools.partial(apply_spec, spec=spec),
            )

    def has_ledger(self, target: str) -> bool:
        """Return whether the ledger of a target was taken over."""
        return target in self._cached

    def version(self, target: str) -> int:
        """Return the version of a ledger."""
        return self._cached[target].version

    def get(self, target: str) -> LedgerDocument:
        """Return the ledger of a target as last written."""
        return cast(LedgerDocument, self._cached[target].document)

    async def change(
        self,
        target: str,
        change: Callable[[LedgerDocument], LedgerDocument],
        version: int | None = None,
    ) -> LedgerDocument:
        """Write a changed ledger and return it.

        A given version must be the current one, because a report requested
        before the last write doesn't reflect that write. Raises
        ``VersionConflictError`` for another version, ``StaleFenceError`` if
        a later lease holder took over, and the errors of ``change`` and of
        the store.
        """
        base = self._cached[target]
        if version is not None and version != base.version:
            raise VersionConflictError(
                f'{target}: the ledger has a newer version'
            )
        before = cast(LedgerDocument, base.document)
        after = change(before)
        if after == before:
            return before
        require_capacity(after, self._invariants)
        await self._write(base, after)
        return self.get(target)

    async def _take_over_ledger(self, spec: TargetSpec) -> None:
        store = self._writer.store
        found = await store.read(LEDGER_KIND, spec.name)
        if found is None:
            ledger = create_ledger(spec, self.fence)
            self._cache(
                await self._writer.create(LEDGER_KIND, spec.name, ledger),
            )
            return
        raised = raise_fence(cast(LedgerDocument, found.document), self.fence)
        self._cache(await self._writer.replace(found, raised))

    async def _write(self, base: StoredObject, after: LedgerDocument) -> None:
        # Until the outcome is known, the cached ledger can't be used.
        self._cached.pop(base.name)
        try:
            written = await self._writer.replace(base, after)
        except VersionConflictError:
            await self._reread(base.name)
            raise
        self._cache(written)

    async def _reread(self, target: str) -> None:
        try:
            found = await self._writer.store.read(LEDGER_KIND, target)
        except StoreError:
            return
        if found is not None:
            self._cache(found)

    def _cache(self, stored: StoredObject) -> None:
        if stored.document['fence'] > self.fence:
            raise StaleFenceError(
                f'{stored.name}: a higher fencing token is set'
            )
        self._cached[stored.name] = stored
