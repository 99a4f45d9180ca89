"""Gather the changes of the registry that the order holder tells."""

from collections.abc import Callable
from typing import NamedTuple

from cassiarail.edge.messages import GoneRow, TargetRow
from cassiarail.edge.rows import describe_target
from cassiarail.edge.targets import Target, TargetDirectory


class Changes(NamedTuple):
    """Hold the newest row of each entry that changed."""

    targets: list[TargetRow]
    gone: list[GoneRow]


class ChangeLog:
    """Note the changes of a directory while they are wanted."""

    def __init__(
        self,
        directory: TargetDirectory,
        is_wanted: Callable[[], bool],
        on_change: Callable[[], None],
    ) -> None:
        self._directory = directory
        self._is_wanted = is_wanted
        self._on_change = on_change
        self._changed: dict[str, TargetRow] = {}
        self._gone: dict[str, GoneRow] = {}
        directory.on_put = self._note_put
        directory.on_gone = self._note_gone

    def note_all(self) -> None:
        """Take all entries as changed."""
        for entry in self._directory.list_entries():
            self._changed[entry.instance] = describe_target(entry)

    def take(self) -> Changes:
        """Return the changes since the last call."""
        taken = Changes(list(self._changed.values()), list(self._gone.values()))
        self._changed.clear()
        self._gone.clear()
        return taken

    def _note_put(self, target: Target) -> None:
        if self._is_wanted():
            self._gone.pop(target.instance, None)
            self._changed[target.instance] = describe_target(target)
            self._on_change()

    def _note_gone(self, instance: str, revision: int) -> None:
        if self._is_wanted():
            self._changed.pop(instance, None)
            self._gone[instance] = GoneRow(instance, revision)
            self._on_change()
