"""Track the fingerprints of requests that crash targets.

Entries merge to the same result in any order. Lifts by operators take
precedence over everything else, and a quarantine takes precedence over
successes, so that a success announced during a second crash doesn't hide it.
"""

import collections
from collections.abc import Iterable
from typing import NamedTuple

from cassiarail.core.events import emit_event
from cassiarail.membership.events import FINGERPRINT_CHANGED
from cassiarail.membership.protos import peers_pb2 as pb
from cassiarail.membership.revisions import Revisions, hash_name

_QUARANTINE_CRASHES = 2
_MAX_ENTRIES = 4096


class Fingerprint(NamedTuple):
    """Hold the crashes of one request and the last change's revision."""

    lifts: int = 0
    clears: int = 0
    crashes: frozenset[int] = frozenset()
    revision: int = 0
    source: str = ''

    @property
    def is_quarantined(self) -> bool:
        """Return whether the request must not run."""
        return len(self.crashes) >= _QUARANTINE_CRASHES

    @property
    def is_suspect(self) -> bool:
        """Return whether a target may run at most one such request."""
        return len(self.crashes) == 1


class FingerprintTable:
    """Record crashes, successes and lifts, and merge those of peers."""

    def __init__(self, revisions: Revisions) -> None:
        self._revisions = revisions
        self._entries: collections.OrderedDict[str, Fingerprint] = (
            collections.OrderedDict()
        )

    def record_crash(self, name: str, target: str, instance: str) -> bool:
        """Add a crash of an instance; return whether it is new."""
        known = self._entries.get(name, Fingerprint())
        crash = hash_name(f'{target}\0{instance}')
        return self._store(
            name, known._replace(crashes=known.crashes | {crash}), ''
        )

    def record_success(self, name: str) -> bool:
        """Clear a suspect; return whether anything changed."""
        known = self._entries.get(name, Fingerprint())
        if not known.is_suspect:
            return False
        cleared = Fingerprint(known.lifts, known.clears + 1)
        return self._store(name, cleared, '')

    def lift(self, name: str) -> bool:
        """End a quarantine at the request of an operator.

        Returns whether anything changed.
        """
        known = self._entries.get(name, Fingerprint())
        if not known.crashes:
            return False
        return self._store(name, Fingerprint(known.lifts + 1), '')

    def merge(self, entry: pb.QuarantineEntry, source: str) -> bool:
        """Merge the entry of a peer; return whether anything changed."""
        name = entry.fingerprint.decode(errors='replace')
        received = Fingerprint(
            entry.lifts, entry.clears, frozenset(entry.crashes)
        )
        known = self._entries.get(name, Fingerprint())
        return self._store(name, _merge_entries(known, received), source)

    def encode(self, name: str) -> pb.QuarantineEntry:
        """Return the message of one entry."""
        known = self._entries.get(name, Fingerprint())
        return pb.QuarantineEntry(
            fingerprint=name.encode(),
            lifts=known.lifts,
            clears=known.clears,
            crashes=sorted(known.crashes),
        )

    def list_entries(self) -> Iterable[tuple[str, Fingerprint]]:
        """Return all entries with their names."""
        return self._entries.items()

    def list_quarantined(self) -> frozenset[str]:
        """Return the fingerprints that must not run."""
        return frozenset(
            name
            for name, entry in self._entries.items()
            if entry.is_quarantined
        )

    def list_suspects(self) -> frozenset[str]:
        """Return the fingerprints that crashed one instance."""
        return frozenset(
            name for name, entry in self._entries.items() if entry.is_suspect
        )

    def _store(self, name: str, entry: Fingerprint, source: str) -> bool:
        known = self._entries.get(name, Fingerprint())
        if entry[:3] == known[:3]:
            return False
        self._entries[name] = entry._replace(
            revision=self._revisions.advance(),
            source=source,
        )
        self._entries.move_to_end(name)
        if len(self._entries) > _MAX_ENTRIES:
            self._evict_oldest()
        emit_event(
            FINGERPRINT_CHANGED,
            fingerprint=name,
            crashes=len(entry.crashes),
        )
        return True

    def _evict_oldest(self) -> None:
        """Evict the oldest entry that isn't quarantined, if possible."""
        for name, entry in self._entries.items():
            if not entry.is_quarantined:
                self._entries.pop(name)
                return
        self._entries.popitem(last=False)


def _merge_entries(known: Fingerprint, received: Fingerprint) -> Fingerprint:
    if received.lifts != known.lifts:
        return max(received, known, key=_get_lifts)
    if received.clears == known.clears:
        return known._replace(crashes=known.crashes | received.crashes)
    older, newer = sorted((known, received), key=_get_clears)
    if older.is_quarantined:
        return newer._replace(crashes=newer.crashes | older.crashes)
    return newer


def _get_lifts(entry: Fingerprint) -> int:
    return entry.lifts


def _get_clears(entry: Fingerprint) -> int:
    return entry.clears
