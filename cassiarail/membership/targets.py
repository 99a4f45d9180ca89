"""Hold the load, instance and leaving state of targets.

An epoch orders the instances of a target; it rises when a poll shows another
instance. A load report is spread only when it differs noticeably from the one
spread last, which keeps idle targets out of the digests.
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

# A change of this share of the batch is spread at once, a smaller one after
# the interval. Gateways correct reports by what they sent since.
_NOTICEABLE_SHARE = 8
_SPREAD_S = 10.0
# All targets of a data centre together spread at most this many reports a
# second, apart from very large changes. It bounds the bytes of every node.
_SPREADS_PER_S = 18
_LARGE_SHARE = 2
_SHARE_STEPS = 127
_NOTICEABLE_KV_STEPS = 16
_MIB = 1024 * 1024
_TENTHS = 10
_FORGET_AFTER_S = 600.0


class TargetChange(enum.Enum):
    """Tell whether a change has to be announced."""

    NONE = 'none'
    SPREAD = 'spread'
    ANNOUNCE = 'announce'


class Load(NamedTuple):
    """Hold the numbers of one report; ``kv_share`` is in 127ths."""

    sequence: int = 0
    running: int = 0
    queued: int = 0
    kv_share: int = 0
    polled_at: float = 0


class TargetEntry:
    """Hold what is known of one target."""

    def __init__(self, name: str, now: float) -> None:
        self.name = name
        self.key = hash_name(name)
        self.profile = pb.TargetProfile(name=name)
        self.profile_revision = 0
        self.profile_holders: set[str] = set()
        self.changed_at = now
        self.load = Load()
        self.spread = Load()
        self.load_revision = 0
        # The neighbours that hold the load spread last.
        self.load_holders: set[str] = set()


class TargetTable:
    """Merge the polls of this node and the reports of its peers."""

    def __init__(self, clock: Clock, revisions: Revisions) -> None:
        self._clock = clock
        self._revisions = revisions
        self.entries: dict[int, TargetEntry] = {}

    def observe(
        self,
        name: str,
        observation: LoadObservation,
        started_at: float,
        *,
        is_first: bool = True,
    ) -> TargetChange:
        """Take the answer to a poll that began at a monotonic time.

        ``is_first`` tells whether this node is the target's first poller.
        """
        entry = self.entries.get(hash_name(name))
        if entry is None:
            entry = self._add(name)
        profile = _describe(entry.profile, observation)
        is_unknown = not entry.profile.instance
        change = TargetChange.NONE
        if profile.epoch != entry.profile.epoch:
            if entry.changed_at > started_at and not is_unknown:
                # The answer is older than the change that is already known.
                return TargetChange.NONE
            entry.load = Load()
            entry.spread = Load()
        if profile != entry.profile:
            change = self._replace(entry, profile, '')
        self._observe_load(entry, observation, is_first=is_first)
        return TargetChange.SPREAD if is_unknown else change

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
        if _rank(profile) < _rank(known):
            return TargetChange.NONE
        merged = pb.TargetProfile()
        merged.CopyFrom(profile)
        if profile.instance == known.instance:
            merged.leaving = profile.leaving or known.leaving
        else:
            entry.load = Load()
            entry.spread = Load()
        if merged == known:
            entry.profile_holders.add(source)
            return TargetChange.NONE
        return self._replace(entry, merged, source)

    def merge_loads(self, columns: pb.LoadColumns, source: str) -> bool:
        """Merge load reports; tell whether all targets were known."""
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
            load = _read_load(numbers, now)
            if epoch == entry.profile.epoch:
                self._merge_load(entry, load, source)
        return complete

    def _merge_load(
        self,
        entry: TargetEntry,
        load: Load,
        source: str,
    ) -> None:
        if load.sequence > entry.spread.sequence:
            self._spread(entry, load, source)
            if load.sequence > entry.load.sequence:
                entry.load = load
        elif load.sequence == entry.spread.sequence:
            entry.load_holders.add(source)

    def append_load(self, columns: pb.LoadColumns, entry: TargetEntry) -> None:
        """Add the load of a target to the columns of a digest."""
        load = entry.spread
        age = max(0, self._clock.monotonic() - load.polled_at)
        columns.targets.append(entry.key)
        columns.epochs.append(entry.profile.epoch)
        columns.sequences.append(load.sequence)
        columns.running.append(load.running)
        columns.queued.append(load.queued)
        columns.kv_shares.append(load.kv_share)
        columns.ages.append(round(age * _TENTHS))

    def find(self, name: str) -> TargetEntry | None:
        """Return what is known of a target."""
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
            kv_used_bytes=kv_total * entry.load.kv_share // _SHARE_STEPS,
            kv_total_bytes=kv_total,
            received_at=entry.load.polled_at,
        )

    def forget_except(self, names: list[str]) -> None:
        """Drop the targets that are neither listed nor heard of any more."""
        kept = {hash_name(name) for name in names}
        oldest = self._clock.monotonic() - _FORGET_AFTER_S
        for key, entry in tuple(self.entries.items()):
            heard_at = max(entry.changed_at, entry.load.polled_at)
            if key not in kept and heard_at < oldest:
                self.entries.pop(key)

    def _add(self, name: str) -> TargetEntry:
        entry = TargetEntry(name, self._clock.monotonic())
        self.entries[entry.key] = entry
        return entry

    def _replace(
        self,
        entry: TargetEntry,
        profile: pb.TargetProfile,
        source: str,
    ) -> TargetChange:
        known = entry.profile
        is_new = known.instance not in {'', profile.instance}
        is_leaving = profile.leaving and not known.leaving
        entry.profile = profile
        entry.profile_revision = self._revisions.advance()
        entry.profile_holders = {source}
        entry.changed_at = self._clock.monotonic()
        if is_leaving:
            emit_event(TARGET_LEAVING, target=entry.name)
        if is_new:
            emit_event(TARGET_RESTARTED, target=entry.name)
        if is_leaving or is_new:
            return TargetChange.ANNOUNCE
        return TargetChange.SPREAD

    def _observe_load(
        self,
        entry: TargetEntry,
        observation: LoadObservation,
        *,
        is_first: bool,
    ) -> None:
        if observation.sequence < entry.load.sequence:
            return
        total = max(1, observation.kv_total_bytes)
        entry.load = Load(
            sequence=observation.sequence,
            running=observation.running,
            queued=observation.queued,
            kv_share=observation.kv_used_bytes * _SHARE_STEPS // total,
            polled_at=self._clock.monotonic(),
        )
        interval_s = len(self.entries) / _SPREADS_PER_S
        if not is_first:
            # The report of the first poller may still be on its way.
            interval_s += _SPREAD_S
        if _is_noticeable(entry, interval_s):
            self._spread(entry, entry.load, '')

    def _spread(self, entry: TargetEntry, load: Load, source: str) -> None:
        entry.spread = load
        entry.load_revision = self._revisions.advance()
        entry.load_holders = {source}


def _read_load(numbers: Sequence[int], now: float) -> Load:
    """Return the load of one row; the last column is its age."""
    sequence, running, queued, kv_share, age = numbers
    return Load(sequence, running, queued, kv_share, now - age / _TENTHS)


def _describe(
    known: pb.TargetProfile,
    observation: LoadObservation,
) -> pb.TargetProfile:
    """Return the profile after an observation, with its next number."""
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


def _rank(profile: pb.TargetProfile) -> tuple[int, str, int]:
    return (profile.epoch, profile.instance, profile.minor)


def _is_noticeable(entry: TargetEntry, interval_s: float) -> bool:
    """Tell whether a load differs enough from the one spread last."""
    age = entry.load.polled_at - entry.spread.polled_at
    if age >= _SPREAD_S + interval_s or not entry.spread.sequence:
        return True
    work = entry.load.running + entry.load.queued
    spread_work = entry.spread.running + entry.spread.queued
    difference = abs(work - spread_work)
    if difference >= max(1, entry.profile.batch_max // _LARGE_SHARE):
        return True
    if age < interval_s:
        return False
    step = max(1, entry.profile.batch_max // _NOTICEABLE_SHARE)
    kv_difference = abs(entry.load.kv_share - entry.spread.kv_share)
    if difference >= step or kv_difference >= _NOTICEABLE_KV_STEPS:
        return True
    return (work == 0) != (spread_work == 0)
