"""Store the objects of the object API with versions and a change log."""

import collections
from typing import Any, NamedTuple

import anyio

# Changes of each kind retained for watches; an older revision gets 410.
_CHANGES_MAX = 2000


class TableEntry(NamedTuple):
    """Hold one object; ``revision`` is that of the store at its last write."""

    name: str
    version: int
    revision: int
    document: Any


class Change(NamedTuple):
    """Describe one change; ``entry`` is ``None`` for a deletion."""

    revision: int
    name: str
    entry: TableEntry | None


class KindTable:
    """Hold the objects of one kind."""

    def __init__(self) -> None:
        self.entries: dict[str, TableEntry] = {}
        self.changes: collections.deque[Change] = collections.deque()
        self.oldest_revision = 0
        self.changed = anyio.Event()

    def record_change(self, change: Change) -> None:
        """Append a change to the log and wake the watches."""
        self.changes.append(change)
        if len(self.changes) > _CHANGES_MAX:
            self.oldest_revision = self.changes.popleft().revision
        self.changed.set()
        self.changed = anyio.Event()

    def list_changes(self, after: int, prefix: str) -> list[Change]:
        """Return the latest change of each object after a revision."""
        latest = {
            change.name: change
            for change in self.changes
            if change.revision > after and change.name.startswith(prefix)
        }
        return list(latest.values())


class TableCopy(NamedTuple):
    """Hold the objects and the revision of one time."""

    revision: int
    entries: dict[str, dict[str, TableEntry]]


class ObjectTable:
    """Hold all objects; each change increments the revision.

    ``era`` rises each time that the table comes back from a copy.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.era = 1
        self._kinds: collections.defaultdict[str, KindTable] = (
            collections.defaultdict(KindTable)
        )

    def get_kind_table(self, kind: str) -> KindTable:
        """Return the table of a kind."""
        return self._kinds[kind]

    def find(self, kind: str, name: str) -> TableEntry | None:
        """Return an object, or ``None``."""
        return self._kinds[kind].entries.get(name)

    def write(self, kind: str, name: str, document: Any) -> TableEntry:
        """Write an object unconditionally; return it."""
        self.revision += 1
        # The revision serves as the version, so that no version repeats even
        # if an object is deleted and created again.
        entry = TableEntry(name, self.revision, self.revision, document)
        table = self._kinds[kind]
        table.entries[name] = entry
        table.record_change(Change(self.revision, name, entry))
        return entry

    def delete(self, kind: str, name: str) -> None:
        """Delete an object."""
        self.revision += 1
        table = self._kinds[kind]
        table.entries.pop(name, None)
        table.record_change(Change(self.revision, name, None))

    def take_copy(self) -> TableCopy:
        """Return a copy of all objects."""
        return TableCopy(
            self.revision,
            {kind: dict(table.entries) for kind, table in self._kinds.items()},
        )

    def come_back(self, copy: TableCopy) -> None:
        """Lose what was written since a copy, and begin the next era.

        Revisions are given out again, and watches of earlier eras have none
        to continue from.
        """
        self.era += 1
        self.revision = copy.revision
        for kind, table in self._kinds.items():
            table.entries = dict(copy.entries.get(kind, {}))
            table.changes.clear()
            table.oldest_revision = copy.revision
            table.changed.set()
            table.changed = anyio.Event()
