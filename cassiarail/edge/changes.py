"""Gather the changes of the registry that the order holder tells."""

from collections.abc import Callable
from typing import NamedTuple

from cassiarail.core.clock import Clock
from cassiarail.edge.messages import GoneRow, TargetRow
from cassiarail.edge.rows import describe_target
from cassiarail.edge.targets import Target, TargetDirectory


class Changes(NamedTuple):
    """Hold the newest row of each entry that changed."""

    targets: list[TargetRow]
    gone: list[GoneRow]


class ChangeLog:
    """Note the changes of a directory while they are wanted.

    Of several changes of an entry only the newest is told. Entries that leave
    are told first: they are the ones that have a bound.
    """

    def __init__(
        self,
        directory: TargetDirectory,
        is_wanted: Callable[[], bool],
        on_change: Callable[[], None],
        clock: Clock,
    ) -> None:
        self._directory = directory
        self._is_wanted = is_wanted
        self._on_change = on_change
        self._clock = clock
        self._changed: dict[str, TargetRow] = {}
        self._gone: dict[str, GoneRow] = {}
        self._noted_at: dict[str, float] = {}
        directory.on_put = self._note_put
        directory.on_gone = self._note_gone

    @property
    def is_empty(self) -> bool:
        """Tell whether everything was taken."""
        return not (self._changed or self._gone)

    def note_all(self) -> None:
        """Take all entries as changed."""
        for entry in self._directory.list_entries():
            self._add(entry)

    def take(self, limit: int) -> Changes:
        """Return at most ``limit`` changes of each kind."""
        leaving_first = sorted(
            self._changed.values(),
            key=lambda row: not row.is_leaving,
        )
        taken = Changes(
            leaving_first[:limit],
            list(self._gone.values())[:limit],
        )
        for target in taken.targets:
            self._changed.pop(target.instance)
            self._noted_at.pop(target.instance)
        for gone in taken.gone:
            self._gone.pop(gone.instance)
            self._noted_at.pop(gone.instance)
        return taken

    def waiting_s(self) -> float:
        """Return how long ago the oldest change that is left was noted."""
        now = self._clock.monotonic()
        return now - min(self._noted_at.values(), default=now)

    def clear(self) -> None:
        """Forget all changes; another host tells them from now on."""
        self._changed.clear()
        self._gone.clear()
        self._noted_at.clear()

    def _add(self, entry: Target) -> None:
        self._gone.pop(entry.instance, None)
        self._changed[entry.instance] = describe_target(entry)
        self._noted_at.setdefault(entry.instance, self._clock.monotonic())

    def _note_put(self, target: Target) -> None:
        if self._is_wanted():
            self._add(target)
            self._on_change()

    def _note_gone(self, instance: str, revision: int) -> None:
        if self._is_wanted():
            self._changed.pop(instance, None)
            self._gone[instance] = GoneRow(instance, revision)
            self._noted_at.setdefault(instance, self._clock.monotonic())
            self._on_change()
