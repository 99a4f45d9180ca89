"""Track the load, instance and leaving state of targets.

An epoch orders the instances of a target; it increases when a poll finds
another instance. A load report is published only when it differs significantly
from the last published one, so that digests omit idle targets.
"""

import enum
from collections.abc import Sequence
from typing import NamedTuple

from cassiarail.core.clock import Clock
from cassiarail.core.events import emit_event
from cassiarail.membership.events import TARGET_LEAVING, TARGET_RESTARTED
from cassiarail.membership.ports import LoadObservation
from cassiarail.membership.protos import peers_pb2 as pb
from cassiarail.membership.revisions import Revisions, hash_name
from cassiarail.routing.snapshot import LoadReport

# A change by this fraction of the batch is published at once, subject to the
# rate limit below; a smaller one after the interval. Gateways adjust reports by
# the requests sent since.
_SIGNIFICANT_BATCH_DIVISOR = 8
_PUBLISH_INTERVAL_S = 10.0
# Limit for all targets of a data centre together, in reports per second. It
# bounds the traffic of every node. Changes of half the batch are exempt.
_MAX_PUBLISHED_PER_S = 18
_LARGE_BATCH_DIVISOR = 2
_KV_SHARE_STEPS = 127
_SIGNIFICANT_KV_STEPS = 16
_MIB = 1024 * 1024
_TENTHS_PER_S = 10
_STALE_AFTER_S = 600.0


class TargetChange(enum.Enum):
    """Define how a change reaches the other controllers."""

    NONE = 'none'
    PUBLISH = 'spread'
    ANNOUNCE = 'announce'


class Load(NamedTuple):
    """Hold the values of one load report; ``kv_share`` is in 127ths."""

    sequence: int = 0
    running: int = 0
    queued: int = 0
    kv_share: int = 0
    polled_at: float = 0


class TargetEntry:
    """Hold the known state of one target."""

    def __init__(self, name: str, now: float) -> None:
        self.name = name
        self.key = hash_name(name)
        self.profile = pb.TargetProfile(name=name)
        self.profile_revision = 0
        self.profile_holders: set[str] = set()
        self.changed_at = now
        self.load = Load()
        self.published = Load()
        self.load_revision = 0
        # The neighbours known to hold the last published load.
        self.load_holders: set[str] = set()


class TargetTable:
    """Merge the poll results of this node and the reports of peers."""

    def __init__(self, clock: Clock, revisions: Revisions) -> None:
        self._clock = clock
        self._revisions = revisions
        self.entries: dict[int, TargetEntry] = {}

    def record_observation(
        self,
        name: str,
        observation: LoadObservation,
        poll_started_at: float,
        *,
        is_first_poller: bool = True,
    ) -> TargetChange:
        """Record the response to a poll.

        ``poll_started_at`` is in monotonic time. ``is_first_poller`` states
        whether this node is the target's first poller.
        """
        entry = self.entries.get(hash_name(name))
        if entry is None:
            entry = self._add(name)
        profile = _build_profile(entry.profile, observation)
        was_unknown = not entry.profile.instance
        change = TargetChange.NONE
        if profile.epoch != entry.profile.epoch:
            if entry.changed_at > poll_started_at and not was_unknown:
                # The response is older than the known change.
                return TargetChange.NONE
            entry.load = Load()
            entry.published = Load()
        if profile != entry.profile:
            change = self._replace_profile(entry, profile, '')
        self._record_load(entry, observation, is_first_poller=is_first_poller)
        return TargetChange.PUBLISH if was_unknown else change

    def merge_profile(
        self,
        profile: pb.TargetProfile,
        source: str,
    ) -> TargetChange:
        """Merge the profile that a peer sent."""
        entry = self.entries.get(hash_name(profile.name))
        if entry is None:
            entry = self._add(profile.name)
        known = entry.profile
        if _get_version(profile) < _get_version(known):
            return TargetChange.NONE
        merged = pb.TargetProfile()
        merged.CopyFrom(profile)
        if profile.instance == known.instance:
            merged.leaving = profile.leaving or known.leaving
        else:
            entry.load = Load()
            entry.published = Load()
        if merged == known:
            entry.profile_holders.add(source)
            return TargetChange.NONE
        return self._replace_profile(entry, merged, source)

    def merge_loads(self, columns: pb.LoadColumns, source: str) -> bool:
        """Merge load reports; return whether all targets were known."""
        now = self._clock.monotonic()
        rows = zip(
            columns.targets,
            columns.epochs,
            columns.sequences,
            columns.running,
            columns.queued,
            columns.kv_shares,
            columns.ages,
            strict=False,
        )
        complete = True
        for key, epoch, *numbers in rows:
            entry = self.entries.get(key)
            if entry is None:
                complete = False
                continue
            load = _decode_load(numbers, now)
            if epoch == entry.profile.epoch:
                self._merge_load(entry, load, source)
        return complete

    def _merge_load(
        self,
        entry: TargetEntry,
        load: Load,
        source: str,
    ) -> None:
        if load.sequence > entry.published.sequence:
            self._publish(entry, load, source)
            if load.sequence > entry.load.sequence:
                entry.load = load
        elif load.sequence == entry.published.sequence:
            entry.load_holders.add(source)

    def append_load(self, columns: pb.LoadColumns, entry: TargetEntry) -> None:
        """Add the load of a target to the columns of a digest."""
        load = entry.published
        age = max(0, self._clock.monotonic() - load.polled_at)
        columns.targets.append(entry.key)
        columns.epochs.append(entry.profile.epoch)
        columns.sequences.append(load.sequence)
        columns.running.append(load.running)
        columns.queued.append(load.queued)
        columns.kv_shares.append(load.kv_share)
        columns.ages.append(round(age * _TENTHS_PER_S))

    def find(self, name: str) -> TargetEntry | None:
        """Return the entry of a target, or ``None`` if it is unknown."""
        return self.entries.get(hash_name(name))

    def describe_load(self, name: str) -> LoadReport | None:
        """Return the latest load report of a target."""
        entry = self.find(name)
        if entry is None or not entry.load.sequence:
            return None
        kv_total = entry.profile.kv_total_mib * _MIB
        return LoadReport(
            sequence=entry.load.sequence,
            running=entry.load.running,
            queued=entry.load.queued,
            batch_max=entry.profile.batch_max,
            kv_used_bytes=kv_total * entry.load.kv_share // _KV_SHARE_STEPS,
            kv_total_bytes=kv_total,
            received_at=entry.load.polled_at,
        )

    def remove_stale(self, names: list[str]) -> None:
        """Remove unlisted targets that had no update for a while."""
        listed = {hash_name(name) for name in names}
        oldest = self._clock.monotonic() - _STALE_AFTER_S
        for key, entry in tuple(self.entries.items()):
            last_update_at = max(entry.changed_at, entry.load.polled_at)
            if key not in listed and last_update_at < oldest:
                self.entries.pop(key)

    def _add(self, name: str) -> TargetEntry:
        entry = TargetEntry(name, self._clock.monotonic())
        self.entries[entry.key] = entry
        return entry

    def _replace_profile(
        self,
        entry: TargetEntry,
        profile: pb.TargetProfile,
        source: str,
    ) -> TargetChange:
        known = entry.profile
        is_restarted = known.instance not in {'', profile.instance}
        is_leaving = profile.leaving and not known.leaving
        entry.profile = profile
        entry.profile_revision = self._revisions.advance()
        entry.profile_holders = {source}
        entry.changed_at = self._clock.monotonic()
        if is_leaving:
            emit_event(TARGET_LEAVING, target=entry.name)
        if is_restarted:
            emit_event(TARGET_RESTARTED, target=entry.name)
        if is_leaving or is_restarted:
            return TargetChange.ANNOUNCE
        return TargetChange.PUBLISH

    def _record_load(
        self,
        entry: TargetEntry,
        observation: LoadObservation,
        *,
        is_first_poller: bool,
    ) -> None:
        if observation.sequence < entry.load.sequence:
            return
        total = max(1, observation.kv_total_bytes)
        entry.load = Load(
            sequence=observation.sequence,
            running=observation.running,
            queued=observation.queued,
            kv_share=observation.kv_used_bytes * _KV_SHARE_STEPS // total,
            polled_at=self._clock.monotonic(),
        )
        interval_s = len(self.entries) / _MAX_PUBLISHED_PER_S
        if not is_first_poller:
            # The report of the first poller may still be in transit.
            interval_s += _PUBLISH_INTERVAL_S
        if _is_significant(entry, interval_s):
            self._publish(entry, entry.load, '')

    def _publish(self, entry: TargetEntry, load: Load, source: str) -> None:
        entry.published = load
        entry.load_revision = self._revisions.advance()
        entry.load_holders = {source}


def _decode_load(numbers: Sequence[int], now: float) -> Load:
    """Return the load of one row; the last column is its age."""
    sequence, running, queued, kv_share, age = numbers
    return Load(sequence, running, queued, kv_share, now - age / _TENTHS_PER_S)


def _build_profile(
    known: pb.TargetProfile,
    observation: LoadObservation,
) -> pb.TargetProfile:
    """Return the profile after an observation, with its next version."""
    profile = pb.TargetProfile()
    profile.CopyFrom(known)
    profile.batch_max = observation.batch_max
    profile.kv_total_mib = observation.kv_total_bytes // _MIB
    if observation.instance == known.instance:
        profile.leaving = known.leaving or observation.leaving
        if profile != known:
            profile.minor += 1
    else:
        profile.instance = observation.instance
        profile.epoch += 1
        profile.minor = 0
        profile.leaving = observation.leaving
    return profile


def _get_version(profile: pb.TargetProfile) -> tuple[int, str, int]:
    return (profile.epoch, profile.instance, profile.minor)


def _is_significant(entry: TargetEntry, interval_s: float) -> bool:
    """Return whether a load differs enough from the published one."""
    age = entry.load.polled_at - entry.published.polled_at
    if age >= _PUBLISH_INTERVAL_S + interval_s or not entry.published.sequence:
        return True
    request_count = entry.load.running + entry.load.queued
    published_count = entry.published.running + entry.published.queued
    difference = abs(request_count - published_count)
    if difference >= max(1, entry.profile.batch_max // _LARGE_BATCH_DIVISOR):
        return True
    if age < interval_s:
        return False
    threshold = max(1, entry.profile.batch_max // _SIGNIFICANT_BATCH_DIVISOR)
    kv_difference = abs(entry.load.kv_share - entry.published.kv_share)
    if difference >= threshold or kv_difference >= _SIGNIFICANT_KV_STEPS:
        return True
    return (request_count == 0) != (published_count == 0)
