"""Record which requests were in flight when targets crashed.

Crashes are stored as sets of ``target@instance``, so that announcements may
arrive twice and in any order. A clearance names the crashes that it clears;
all others remain.
"""

import collections
import hashlib
from collections.abc import Iterable, Sequence
from typing import Any, NamedTuple

import msgspec

from cassiarail.core.clock import Clock
from cassiarail.core.exceptions import RequestError

_DIGEST_BYTES = 16
_CRASHES_TO_QUARANTINE = 2
_MAX_FINGERPRINTS = 10_000
# Placeholder for a crash known only from the routing snapshot.
_UNKNOWN_CRASH = '?'
# Snapshots lag behind announcements by less than this.
_SNAPSHOT_LAG_S = 10.0


class QuarantinedError(RequestError):
    """Report a request that crashed two targets and is not run again."""

    error_id = 'CR3201'
    code = 'quarantined'
    status = 422
    default_hint = 'change the request, or ask the operators to lift it'


class SuspectBusyError(RequestError):
    """Report a suspect request that may not run yet."""

    error_id = 'CR3202'
    code = 'suspect_busy'
    status = 503


class CrashNotice(NamedTuple):
    """List the crashes during which a fingerprint was in flight."""

    fingerprint: str
    crashes: frozenset[str]


class Claim(NamedTuple):
    """Reserve a target and a fingerprint for one run of a suspect."""

    name: str
    fingerprint: str
    target: str
    lifetime_s: float


class Announcement(NamedTuple):
    """Hold the changes that a gateway sends to the others.

    ``cleared`` lists suspects that succeeded, ``lifted`` those that operators
    cleared, ``ended`` the names of claims that have ended.
    """

    gateway: str
    crashes: Sequence[CrashNotice] = ()
    cleared: Sequence[CrashNotice] = ()
    lifted: Sequence[CrashNotice] = ()
    claims: Sequence[Claim] = ()
    ended: Sequence[str] = ()


class ListedFingerprint(NamedTuple):
    """Describe a fingerprint for operators."""

    fingerprint: str
    is_quarantined: bool
    crashes: list[str]


def compute_fingerprint(
    caller: str,
    model: str,
    adapter: str,
    messages: Any,
) -> str:
    """Return a hash of the request fields that determine its execution."""
    encoded = msgspec.json.encode([caller, model, adapter, messages])
    return hashlib.blake2b(encoded, digest_size=_DIGEST_BYTES).hexdigest()


class SuspicionRecords:
    """Merge crashes, clearances and claims from all gateways."""

    def __init__(self, clock: Clock, maximum: int = _MAX_FINGERPRINTS) -> None:
        """Retain the newest ``maximum`` fingerprints of each kind."""
        self._clock = clock
        self._maximum = maximum
        self._crashes: collections.OrderedDict[str, set[str]] = (
            collections.OrderedDict()
        )
        self._cleared: collections.OrderedDict[str, set[str]] = (
            collections.OrderedDict()
        )
        self._quarantined: collections.OrderedDict[str, set[str]] = (
            collections.OrderedDict()
        )
        self._cleared_at: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._claims: dict[str, tuple[Claim, float]] = {}
        self._ended: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a fingerprint was in flight at one crash."""
        return fingerprint in self._crashes

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether a fingerprint was in flight at two crashes."""
        return fingerprint in self._quarantined

    def add_crashes(self, notices: Iterable[CrashNotice]) -> None:
        """Record crashes that are not cleared."""
        for notice in notices:
            cleared = self._cleared.get(notice.fingerprint, set())
            crashes = set(notice.crashes) - cleared
            if crashes:
                self._add(notice.fingerprint, crashes)

    def describe(self, fingerprints: Iterable[str]) -> list[CrashNotice]:
        """Return the known crashes of those fingerprints that have any."""
        notices = []
        for fingerprint in sorted(set(fingerprints)):
            crashes = self._quarantined.get(fingerprint) or self._crashes.get(
                fingerprint
            )
            if crashes:
                notices.append(CrashNotice(fingerprint, frozenset(crashes)))
        return notices

    def clear(self, fingerprint: str) -> CrashNotice | None:
        """Clear the known crashes of a fingerprint and return them."""
        notices = self.describe((fingerprint,))
        for notice in notices:
            self._apply_clearance(notice, may_lift=True)
            return notice
        return None

    def merge(self, announcement: Announcement) -> None:
        """Apply an announcement of another gateway."""
        for notice in announcement.crashes:
            # The real name of the crash replaces the snapshot's placeholder.
            self._discard_placeholder(notice.fingerprint)
        self.add_crashes(announcement.crashes)
        for cleared in announcement.cleared:
            self._apply_clearance(cleared, may_lift=False)
        for lifted in announcement.lifted:
            self._apply_clearance(lifted, may_lift=True)
        for claim in announcement.claims:
            self.add_claim(claim)
        for name in announcement.ended:
            self.end_claim(name)

    def merge_snapshot(
        self,
        quarantined: Iterable[str],
        suspects: Iterable[str],
    ) -> None:
        """Add fingerprints from a snapshot, which doesn't name their crashes.

        A snapshot may still list fingerprints that were cleared recently.
        """
        for fingerprint in quarantined:
            if not self._was_cleared_recently(fingerprint):
                self._quarantined.setdefault(fingerprint, {_UNKNOWN_CRASH})
                self._crashes.pop(fingerprint, None)
        for suspect in suspects:
            is_newer = suspect in self._quarantined or (
                self._was_cleared_recently(suspect)
            )
            if not is_newer:
                self._crashes.setdefault(suspect, {_UNKNOWN_CRASH})
        self._trim()

    def list_entries(self) -> list[ListedFingerprint]:
        """Return all fingerprints, quarantined ones first."""
        return [
            ListedFingerprint(fingerprint, is_quarantined, sorted(crashes))
            for is_quarantined, table in (
                (True, self._quarantined),
                (False, self._crashes),
            )
            for fingerprint, crashes in table.items()
        ]

    def add_claim(self, claim: Claim) -> None:
        """Record a claim unless it has already ended."""
        if claim.name not in self._ended:
            expires_at = self._clock.monotonic() + claim.lifetime_s
            self._claims[claim.name] = (claim, expires_at)

    def end_claim(self, name: str) -> None:
        """Remove a claim and ignore it if it arrives late."""
        self._claims.pop(name, None)
        self._ended[name] = None
        if len(self._ended) > self._maximum:
            self._ended.popitem(last=False)

    def find_claims(self, fingerprint: str, target: str) -> set[str]:
        """Return the names of claims on a fingerprint or a target."""
        now = self._clock.monotonic()
        self._claims = {
            name: (claim, expires_at)
            for name, (claim, expires_at) in self._claims.items()
            if expires_at > now
        }
        return {
            name
            for name, (claim, _) in self._claims.items()
            if claim.fingerprint == fingerprint or claim.target == target
        }

    def _add(self, fingerprint: str, crashes: set[str]) -> None:
        quarantined = self._quarantined.get(fingerprint)
        if quarantined is not None:
            quarantined |= crashes
            return
        known = self._crashes.setdefault(fingerprint, set())
        known |= crashes
        if len(known) >= _CRASHES_TO_QUARANTINE:
            self._quarantined[fingerprint] = self._crashes.pop(fingerprint)
        self._trim()

    def _discard_placeholder(self, fingerprint: str) -> None:
        known = self._crashes.get(fingerprint)
        if known is not None:
            known.discard(_UNKNOWN_CRASH)

    def _apply_clearance(self, notice: CrashNotice, *, may_lift: bool) -> None:
        """Apply cleared crashes; only operators may lift a quarantine."""
        fingerprint = notice.fingerprint
        self._cleared.setdefault(fingerprint, set()).update(notice.crashes)
        self._cleared_at[fingerprint] = self._clock.monotonic()
        self._cleared_at.move_to_end(fingerprint)
        for table in (self._crashes, self._quarantined):
            crashes = table.get(fingerprint)
            if crashes is None or (table is self._quarantined and not may_lift):
                continue
            crashes -= notice.crashes | {_UNKNOWN_CRASH}
            if not crashes:
                table.pop(fingerprint)
        self._trim()

    def _trim(self) -> None:
        """Remove the oldest entries, so that memory stays bounded."""
        for table in (self._crashes, self._cleared, self._quarantined):
            while len(table) > self._maximum:
                table.popitem(last=False)
        while len(self._cleared_at) > self._maximum:
            self._cleared_at.popitem(last=False)

    def _was_cleared_recently(self, fingerprint: str) -> bool:
        cleared_at = self._cleared_at.get(fingerprint, float('-inf'))
        return self._clock.monotonic() - cleared_at < _SNAPSHOT_LAG_S
