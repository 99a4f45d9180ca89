"""Recognize entries that a store has restored from a copy.

A store that comes back from a copy may list an incarnation of a target that
was removed, or that was leaving, before it lost its latest writes. What this
host knew of it holds until the target itself shows otherwise.
"""

import collections
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from cassiarail.store.eras import Version

if TYPE_CHECKING:
    from cassiarail.edge.registry.targets import Target

# A restored entry that its target doesn't write is removed again by the store
# after three heartbeats. One that is still listed then belongs to a target
# that returned.
RESTORED_HOLD_S = 6.0
# Removed incarnations that are remembered.
_MAX_REMOVED = 4096


class _Removal(NamedTuple):
    """Hold at which version an incarnation was removed, and how."""

    version: int
    was_leaving: bool


class _HeldEntry(NamedTuple):
    """Hold a restored entry back until a time."""

    target: 'Target'
    until: float


class RestoredEntries:
    """Hold back restored entries of incarnations that were removed."""

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._removals: collections.OrderedDict[tuple[str, int], _Removal] = (
            collections.OrderedDict()
        )
        self._held: dict[tuple[str, int], _HeldEntry] = {}

    def record_removal(self, target: 'Target', version: int) -> None:
        """Record that an incarnation was removed, or replaced by another."""
        self._removals[target.identity] = _Removal(version, target.is_leaving)
        if len(self._removals) > _MAX_REMOVED:
            self._removals.popitem(last=False)

    def was_leaving(self, target: 'Target', known: 'Target | None') -> bool:
        """Return whether an incarnation was leaving in an earlier era."""
        if known is not None and known.identity == target.identity:
            version, was_leaving = known.revision, known.is_leaving
        elif target.identity in self._removals:
            version, was_leaving = self._removals[target.identity]
        else:
            return False
        return was_leaving and _is_earlier_era(version, target)

    def admits(self, target: 'Target') -> bool:
        """Return whether an entry may be applied now."""
        identity = target.identity
        removal = self._removals.get(identity)
        if removal is None or not _is_earlier_era(removal.version, target):
            return True
        held = self._held.get(identity)
        if held is None:
            until = self._now() + RESTORED_HOLD_S
            self._held[identity] = _HeldEntry(target, until)
            return False
        if target.revision <= held.target.revision and self._now() < held.until:
            return False
        # The target has written its entry again, or was restored long ago.
        self._held.pop(identity)
        self._removals.pop(identity)
        return True

    def holds(self, instance: str, version: int) -> bool:
        """Return whether an instance's entry of a version is held back."""
        return any(
            identity[0] == instance and held.target.revision == version
            for identity, held in self._held.items()
        )

    def list_due(self) -> list['Target']:
        """Return the entries that were held back for long enough."""
        now = self._now()
        return [
            held.target for held in self._held.values() if now >= held.until
        ]

    def drop(self, instance: str, version: int) -> None:
        """Drop the entries of an instance that was removed at a version."""
        self._held = {
            identity: held
            for identity, held in self._held.items()
            if identity[0] != instance or held.target.revision > version
        }


def _is_earlier_era(version: int, target: 'Target') -> bool:
    era = Version.unpack(target.revision).era
    return Version.unpack(version).era < era
