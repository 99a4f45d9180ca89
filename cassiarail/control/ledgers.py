"""Keep the ledgers of a data centre in the object API."""

import functools
from collections.abc import Callable, Iterable
from typing import cast

from cassiarail.control.ledger import (
    LEDGER_KIND,
    LedgerDocument,
    TargetShape,
    open_ledger,
    raise_fence,
    require_capacity,
    reshape,
)
from cassiarail.core.exceptions import (
    StaleFenceError,
    StoreError,
    VersionConflictError,
)
from cassiarail.core.invariants import Invariants
from cassiarail.store.backends.base import StoredObject
from cassiarail.store.writes import ConditionalWriter


class LedgerKeeper:
    """Write the ledgers of the targets under one fence.

    The keeper knows the version of each ledger. A write succeeds only if
    nobody else wrote since, so the keeper of an older fence can't write once
    a later one has raised the fence.
    """

    def __init__(
        self,
        writer: ConditionalWriter,
        invariants: Invariants,
        fence: int,
    ) -> None:
        """Write under the fence of one acquisition of the lease."""
        self.fence = fence
        self._writer = writer
        self._invariants = invariants
        self._known: dict[str, StoredObject] = {}

    async def take_over(self, shapes: Iterable[TargetShape]) -> None:
        """Raise the fence in the ledgers that aren't taken over yet.

        Ledgers also follow changed declarations here.

        Raises ``StaleFenceError`` if a later holder took one over, and
        ``StoreError``; call it again then, before anything else.
        """
        for shape in shapes:
            if shape.name not in self._known:
                await self._take_one(shape)
            await self.change(
                shape.name,
                functools.partial(reshape, shape=shape),
            )

    def holds(self, target: str) -> bool:
        """Tell whether the ledger of a target was taken over."""
        return target in self._known

    def version(self, target: str) -> int:
        """Return the version of a ledger."""
        return self._known[target].version

    def get(self, target: str) -> LedgerDocument:
        """Return the ledger of a target as last written."""
        return cast(LedgerDocument, self._known[target].document)

    async def change(
        self,
        target: str,
        change: Callable[[LedgerDocument], LedgerDocument],
        version: int | None = None,
    ) -> LedgerDocument:
        """Write a changed ledger and return it.

        A given version has to be the current one: a report that was asked for
        before the last write says nothing about it. Raises
        ``VersionConflictError`` for another version, ``StaleFenceError`` if
        a later holder took over, and what ``change`` and the store raise.
        """
        base = self._known[target]
        if version is not None and version != base.version:
            raise VersionConflictError(f'{target}: ledger was written since')
        before = cast(LedgerDocument, base.document)
        after = change(before)
        if after == before:
            return before
        require_capacity(after, self._invariants)
        await self._write(base, after)
        return self.get(target)

    async def _take_one(self, shape: TargetShape) -> None:
        store = self._writer.store
        found = await store.read(LEDGER_KIND, shape.name)
        if found is None:
            ledger = open_ledger(shape, self.fence)
            self._remember(
                await self._writer.create(LEDGER_KIND, shape.name, ledger),
            )
            return
        raised = raise_fence(cast(LedgerDocument, found.document), self.fence)
        self._remember(await self._writer.replace(found, raised))

    async def _write(self, base: StoredObject, after: LedgerDocument) -> None:
        # Until the outcome is known, the ledger must be read again.
        self._known.pop(base.name)
        try:
            written = await self._writer.replace(base, after)
        except VersionConflictError:
            await self._read_again(base.name)
            raise
        self._remember(written)

    async def _read_again(self, target: str) -> None:
        try:
            found = await self._writer.store.read(LEDGER_KIND, target)
        except StoreError:
            return
        if found is not None:
            self._remember(found)

    def _remember(self, stored: StoredObject) -> None:
        if stored.document['fence'] > self.fence:
            raise StaleFenceError(f'{stored.name}: fence was raised')
        self._known[stored.name] = stored
