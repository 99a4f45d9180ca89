"""Collect the changes of the registry that the leader sends to the hosts."""

from collections.abc import Callable
from typing import NamedTuple

from cassiarail.core.clock import Clock
from cassiarail.edge.fleet.messages import RemovedRow, TargetRow
from cassiarail.edge.fleet.rows import describe_target
from cassiarail.edge.registry.targets import Target, TargetDirectory


class Changes(NamedTuple):
    """Hold the newest row of each entry that changed."""

    targets: list[TargetRow]
    removed: list[RemovedRow]


class ChangeLog:
    """Record the changes of a directory while they are needed.

    Of several changes of an entry only the newest is sent. Leaving entries are
    sent first: a time limit applies only to them.
    """

    def __init__(
        self,
        directory: TargetDirectory,
        is_needed: Callable[[], bool],
        on_change: Callable[[], None],
        clock: Clock,
    ) -> None:
        self._directory = directory
        self._is_needed = is_needed
        self._on_change = on_change
        self._clock = clock
        self._changed: dict[str, TargetRow] = {}
        self._removed: dict[str, RemovedRow] = {}
        self._recorded_at: dict[str, float] = {}
        directory.on_put = self._record_put
        directory.on_removed = self._record_removal

    @property
    def is_empty(self) -> bool:
        """Return whether no changes are left."""
        return not (self._changed or self._removed)

    def add_all(self) -> None:
        """Add all entries as changed."""
        for entry in self._directory.list_entries():
            self._add(entry)

    def pop(self, limit: int) -> Changes:
        """Remove and return at most ``limit`` changes of each kind."""
        leaving_first = sorted(
            self._changed.values(),
            key=lambda row: not row.is_leaving,
        )
        popped = Changes(
            leaving_first[:limit],
            list(self._removed.values())[:limit],
        )
        for target in popped.targets:
            self._changed.pop(target.instance)
            self._recorded_at.pop(target.instance)
        for removed in popped.removed:
            self._removed.pop(removed.instance)
            self._recorded_at.pop(removed.instance)
        return popped

    def waiting_s(self) -> float:
        """Return the age of the oldest change that is left, in seconds."""
        now = self._clock.monotonic()
        return now - min(self._recorded_at.values(), default=now)

    def clear(self) -> None:
        """Discard all changes; they belong to an earlier term."""
        self._changed.clear()
        self._removed.clear()
        self._recorded_at.clear()

    def _add(self, entry: Target) -> None:
        self._removed.pop(entry.instance, None)
        self._changed[entry.instance] = describe_target(entry)
        self._recorded_at.setdefault(entry.instance, self._clock.monotonic())

    def _record_put(self, target: Target) -> None:
        if self._is_needed():
            self._add(target)
            self._on_change()

    def _record_removal(self, instance: str, revision: int) -> None:
        if self._is_needed():
            self._changed.pop(instance, None)
            self._removed[instance] = RemovedRow(instance, revision)
            self._recorded_at.setdefault(instance, self._clock.monotonic())
            self._on_change()
