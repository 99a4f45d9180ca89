"""Define the stored form of quarantines, which operators may change."""

from typing import Any

import msgspec

from cassiarail.limits.crash_attribution import Quarantine, find_probe_delay_s

QUARANTINE_KIND = 'cassiarail-quarantines'
QUARANTINE_NAME = 'current'
# Released parts that are kept for operators and for hosts that return.
_MAX_RELEASED = 32


class StoredQuarantine(msgspec.Struct, frozen=True):
    """Store one quarantine; times are Unix seconds.

    ``probe_at`` is ``None`` if there are no more probes.
    """

    parts: list[str]
    since: float
    last_crash: float
    crashes: int
    probes: int = 0
    probe_at: float | None = None
    banned: bool = False
    reason: str = ''

    def count_probe(self, now: float) -> 'StoredQuarantine':
        """Return the entry after one more probe."""
        delay_s = find_probe_delay_s(self.probes + 1)
        return msgspec.structs.replace(
            self,
            probes=self.probes + 1,
            probe_at=None if delay_s is None else now + delay_s,
        )

    def add_probes(self, known: 'StoredQuarantine') -> 'StoredQuarantine':
        """Return the entry with probes that the store may have lost."""
        if known.probes <= self.probes:
            return self
        return msgspec.structs.replace(
            self, probes=known.probes, probe_at=known.probe_at
        )


class ReleasedParts(msgspec.Struct, frozen=True):
    """Store that an operator has released parts, and when."""

    parts: list[str]
    at: float
    reason: str = ''


class QuarantineDocument(msgspec.Struct, frozen=True):
    """Store all quarantines, and the newest ones that were released."""

    entries: list[StoredQuarantine] = []
    released: list[ReleasedParts] = []


def decode_quarantines(document: Any) -> QuarantineDocument:
    """Decode the stored document.

    Raises ``msgspec.ValidationError`` if it is invalid.
    """
    if document is None:
        return QuarantineDocument()
    return msgspec.convert(document, QuarantineDocument)


def release_parts(
    document: QuarantineDocument, parts: list[str], reason: str, now: float
) -> QuarantineDocument:
    """Return the document with the quarantine of some parts released."""
    released = ReleasedParts(sorted(parts), now, reason)
    others = _without(document, parts)
    return QuarantineDocument(
        others.entries, [*others.released, released][-_MAX_RELEASED:]
    )


def ban_parts(
    document: QuarantineDocument, parts: list[str], reason: str, now: float
) -> QuarantineDocument:
    """Return the document with some parts banned."""
    banned = StoredQuarantine(
        sorted(parts), now, now, 0, banned=True, reason=reason
    )
    others = _without(document, parts)
    return QuarantineDocument([*others.entries, banned], others.released)


def is_released(document: QuarantineDocument, entry: StoredQuarantine) -> bool:
    """Return whether operators released parts since their last crash."""
    return any(
        set(released.parts) == set(entry.parts)
        and released.at > entry.last_crash
        for released in document.released
    )


def _without(
    document: QuarantineDocument, parts: list[str]
) -> QuarantineDocument:
    """Return the document without what it says of some parts."""
    named = set(parts)
    return QuarantineDocument(
        [each for each in document.entries if set(each.parts) != named],
        [each for each in document.released if set(each.parts) != named],
    )


def describe_entry(
    quarantine: Quarantine, now: float, unix: float
) -> StoredQuarantine:
    """Return the entry of a quarantine; ``now`` is a monotonic time."""
    is_last = quarantine.probe_at == float('inf')
    return StoredQuarantine(
        sorted(quarantine.parts),
        unix + quarantine.since - now,
        unix + quarantine.last_crash_at - now,
        quarantine.crashes,
        quarantine.probes,
        None if is_last else unix + quarantine.probe_at - now,
        quarantine.is_banned,
    )


def read_entry(entry: StoredQuarantine, now: float, unix: float) -> Quarantine:
    """Return the quarantine of an entry, in monotonic time."""
    is_last = entry.probe_at is None
    return Quarantine(
        frozenset(entry.parts),
        now + entry.since - unix,
        now + entry.last_crash - unix,
        entry.crashes,
        entry.probes,
        float('inf') if is_last else now + (entry.probe_at or 0) - unix,
        entry.banned,
    )
