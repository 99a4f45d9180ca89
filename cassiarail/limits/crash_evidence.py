"""Record crashes of targets, and weigh the evidence against each part.

A crashing target takes all its requests with it, harmless ones included, so a
crash alone accuses each part of each request that had no answer yet. Three
facts tell them apart:

- A part that was answered after a crash did not cause it.
- Crashes count separately only if a request was sent after the one before:
  targets may also crash together, for a reason of their own.
- Targets answer in the order of arrival, urgent requests first. A request that
  crashes its target as its answer begins is among the first that had none; the
  fewer rivals were before a part, the less likely it is there by chance.
"""

import collections
import math
from collections.abc import Callable, Collection, Iterable, Mapping
from typing import NamedTuple

from cassiarail.core.clock import Clock

TargetIdentity = tuple[str, int]
IsExplained = Callable[['CrashRecord', str], bool]
_NEVER = float('-inf')
# Reports arrive some milliseconds late, so that a time grows a little with each
# host that passes it on. Times that differ by less are the same.
REPORT_ERROR_S = 0.05


class AttributionRules(NamedTuple):
    """Define how much evidence is required; times are in seconds.

    ``parts_in_use`` is a low estimate of the parts that callers share. A
    harmless part is among the unanswered ones of a crash with a probability of
    the number of rivals divided by it; evidence is the negative logarithm of
    that. Each crash without the part takes ``absence_penalty`` off: targets
    that crash for other reasons leave many parts unanswered once or twice.
    Parts that were answered before their crashes require more evidence. After
    a crash, evidence waits ``settle_s`` for answers that other hosts report.
    Crashes within ``together_s`` may have one cause.
    """

    parts_in_use: int = 100
    required_evidence: float = 10.0
    required_if_answered: float = 12.0
    absence_penalty: float = 1.0
    min_crashes: int = 2
    settle_s: float = 0.15
    together_s: float = 0.3
    retention_s: float = 120.0
    max_crashes: int = 64
    max_parts_per_crash: int = 256
    max_answered_parts: int = 8192
    max_quarantines: int = 32


class UnansweredPart(NamedTuple):
    """Hold when requests with a part were sent that had no answer.

    Times are seconds before the loss of the target, which reports of other
    hosts carry without an error. ``rank`` is that of the most urgent request;
    0 is the most urgent rank.
    """

    oldest_s: float
    newest_s: float
    rank: int = 0

    def merge(self, other: 'UnansweredPart') -> 'UnansweredPart':
        """Return what is known from both."""
        return UnansweredPart(
            max(self.oldest_s, other.oldest_s),
            min(self.newest_s, other.newest_s),
            min(self.rank, other.rank),
        )

    def is_before(self, other: 'UnansweredPart') -> bool:
        """Return whether a target would answer this part first."""
        return self.oldest_s >= other.oldest_s and self.rank <= other.rank


class Crash(NamedTuple):
    """Describe a crash that a host has seen, and the unanswered parts.

    ``lost_at`` is a monotonic time.
    """

    target: TargetIdentity
    lost_at: float
    parts: Mapping[str, UnansweredPart]


class Evidence(NamedTuple):
    """Hold the crashes that speak against a part."""

    weight: float
    required: float
    targets: tuple[TargetIdentity, ...]
    last_crash_at: float

    @property
    def is_sufficient(self) -> bool:
        """Return whether the part may be quarantined."""
        return self.weight >= self.required


class CrashRecord:
    """Merge what hosts have seen of one crash."""

    def __init__(self, target: TargetIdentity, lost_at: float) -> None:
        self.target = target
        self.lost_at = lost_at
        self.parts: dict[str, UnansweredPart] = {}

    def merge(
        self, parts: Mapping[str, UnansweredPart], limit: int
    ) -> dict[str, UnansweredPart]:
        """Add parts up to a limit; return those that were not known yet."""
        new_parts = {}
        for part, unanswered in parts.items():
            known = self.parts.get(part)
            if known is not None:
                self.parts[part] = known.merge(unanswered)
            elif len(self.parts) < limit:
                new_parts[part] = unanswered
                self.parts[part] = unanswered
        return new_parts


class EvidenceRecords:
    """Hold the crashes and answers that all hosts have seen."""

    def __init__(self, clock: Clock, rules: AttributionRules) -> None:
        self._clock = clock
        self._rules = rules
        self._crashes: dict[TargetIdentity, CrashRecord] = {}
        self._answered_at: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._crashes)

    def record_crash(self, crash: Crash) -> Crash | None:
        """Merge a crash; return the part of it that was not known yet."""
        if self._clock.monotonic() - crash.lost_at > self._rules.retention_s:
            return None
        record = self._crashes.get(crash.target)
        if record is None:
            record = CrashRecord(crash.target, crash.lost_at)
            self._crashes[crash.target] = record
            if len(self._crashes) > self._rules.max_crashes:
                self._crashes.pop(next(iter(self._crashes)))
        new_parts = record.merge(crash.parts, self._rules.max_parts_per_crash)
        return crash._replace(parts=new_parts) if new_parts else None

    def record_answer(self, parts: Collection[str], answered_at: float) -> bool:
        """Record an answer; return whether it clears a part of a crash."""
        clears = False
        for part in parts:
            known_at = self._answered_at.get(part, _NEVER)
            if answered_at <= known_at + REPORT_ERROR_S:
                continue
            clears = clears or self._is_accused(part, known_at, answered_at)
            self._answered_at[part] = answered_at
            self._answered_at.move_to_end(part)
        while len(self._answered_at) > self._rules.max_answered_parts:
            self._answered_at.popitem(last=False)
        return clears

    def answered_at(self, part: str) -> float | None:
        """Return when a request with a part was last known to be answered."""
        return self._answered_at.get(part)

    def is_answered_since(self, part: str, since: float) -> bool:
        """Return whether a part was answered after a time."""
        return self._answered_at.get(part, _NEVER) > since

    def list_repeated_parts(self) -> list[str]:
        """Return the parts at enough crashes to be assessed."""
        counts: collections.Counter[str] = collections.Counter()
        for record in self._crashes.values():
            counts.update(record.parts.keys())
        required = self._rules.min_crashes
        return [part for part, count in counts.items() if count >= required]

    def list_crashes(self, within_s: float) -> Iterable[Crash]:
        """Yield the crashes of the last seconds, newest first."""
        oldest = self._clock.monotonic() - within_s
        for record in reversed(self._crashes.values()):
            if record.lost_at >= oldest:
                yield Crash(record.target, record.lost_at, dict(record.parts))

    def drop_old(self) -> None:
        """Forget the crashes before the retention time."""
        oldest = self._clock.monotonic() - self._rules.retention_s
        for target, record in list(self._crashes.items()):
            if record.lost_at < oldest:
                self._crashes.pop(target)

    def assess(self, part: str, is_explained: IsExplained) -> Evidence:
        """Return the evidence against a part.

        Crashes for which ``is_explained`` returns true don't count.
        """
        rules = self._rules
        weight = float(0)
        targets = []
        last_crash_at = _NEVER
        accusing = [
            record
            for record in self._list_accusing(part)
            if not is_explained(record, part)
        ]
        for record in accusing:
            sent_at = record.lost_at - record.parts[part].newest_s
            if sent_at >= last_crash_at:
                last_crash_at = record.lost_at
                targets.append(record.target)
                rivals = self._count_rivals(record, part)
                chance = rivals / rules.parts_in_use
                weight += max(0, -math.log(chance))
        if accusing:
            absences = self._count_absences(
                part, accusing[0].lost_at, is_explained
            )
            weight -= absences * rules.absence_penalty
        required = rules.required_evidence
        if part in self._answered_at:
            required = rules.required_if_answered
        is_enough = len(targets) >= rules.min_crashes
        return Evidence(
            weight if is_enough else 0, required, tuple(targets), last_crash_at
        )

    def _list_accusing(self, part: str) -> list[CrashRecord]:
        """Return the crashes since the last answer, oldest first."""
        since = self._answered_at.get(part, _NEVER)
        return sorted(
            (
                record
                for record in self._crashes.values()
                if part in record.parts and record.lost_at > since
            ),
            key=lambda record: record.lost_at,
        )

    def _is_accused(self, part: str, after: float, before: float) -> bool:
        return any(
            part in record.parts and after < record.lost_at < before
            for record in self._crashes.values()
        )

    def _count_rivals(self, record: CrashRecord, part: str) -> int:
        """Count the parts that were due up to a part, itself included.

        Those that were answered since the crash are no rivals.
        """
        own = record.parts[part]
        rivals = sum(
            unanswered.is_before(own)
            for other, unanswered in record.parts.items()
            if not self.is_answered_since(other, record.lost_at)
        )
        return max(1, rivals)

    def _count_absences(
        self, part: str, since: float, is_explained: IsExplained
    ) -> int:
        """Count the crashes without a part; those at one time count once."""
        absences = 0
        last_at = _NEVER
        for lost_at in sorted(
            record.lost_at
            for record in self._crashes.values()
            if record.lost_at >= since
            and part not in record.parts
            and not is_explained(record, part)
        ):
            if lost_at - last_at > self._rules.together_s:
                absences += 1
            last_at = lost_at
        return absences
