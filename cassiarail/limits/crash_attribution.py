"""Attribute crashes of targets to the parts of prompts that cause them.

Parts that can't be told apart are quarantined together: only requests that
contain all of them are refused. An answer to one of them narrows the
quarantine to the others.
"""

from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from cassiarail.core.clock import Clock
from cassiarail.limits.crash_evidence import (
    REPORT_ERROR_S,
    AttributionRules,
    CrashRecord,
    Evidence,
    EvidenceRecords,
)

_NEVER = float('-inf')
# Two reports of a lift within this time are of the same one.
_SAME_LIFT_S = 1.0
# Seconds until the first probe of a quarantine, and after each probe. There
# are no more, as each may cost a target; operators decide then.
_PROBE_DELAYS_S = (60.0, 120.0, 240.0)


class Quarantine(NamedTuple):
    """Refuse the requests that contain all of some parts.

    ``probes`` counts the requests that were let through since, to see whether
    the parts have become harmless; ``probe_at`` is when the next one may be.
    A banned quarantine has no probes and ends only when operators release it.
    """

    parts: frozenset[str]
    since: float
    last_crash_at: float
    crashes: int
    probes: int = 0
    probe_at: float = float('inf')
    is_banned: bool = False


def find_probe_delay_s(probes: int) -> float | None:
    """Return the seconds until the next probe after some, or ``None``."""
    if probes < len(_PROBE_DELAYS_S):
        return _PROBE_DELAYS_S[probes]
    return None


class Suspect(NamedTuple):
    """Hold parts that can't be told apart, and the evidence against them."""

    parts: frozenset[str]
    evidence: Evidence


class CrashAttribution:
    """Find the parts that crash targets, from what all hosts have seen."""

    def __init__(
        self,
        clock: Clock,
        rules: AttributionRules | None = None,
    ) -> None:
        self._clock = clock
        self._rules = rules or AttributionRules()
        self.records = EvidenceRecords(clock, self._rules)
        self._quarantines: dict[frozenset[str], Quarantine] = {}
        self._pending: frozenset[frozenset[str]] = frozenset()
        # When operators lifted quarantines, the newest last.
        self._lifted_at: dict[frozenset[str], float] = {}

    @property
    def lifted(self) -> Mapping[frozenset[str], float]:
        """Return when operators lifted quarantines, as monotonic times."""
        return self._lifted_at

    @property
    def is_idle(self) -> bool:
        """Return whether no crash is known and nothing is quarantined."""
        return not (self.records or self._quarantines)

    @property
    def quarantines(self) -> list[Quarantine]:
        """Return all quarantines, oldest first."""
        return list(self._quarantines.values())

    def record_answer(self, parts: Collection[str], answered_at: float) -> bool:
        """Record that a target answered a request with these parts.

        Return whether that clears one of them, so that others have to know.
        """
        clears = self.records.record_answer(parts, answered_at)
        return self._narrow_quarantines(parts, answered_at) or clears

    def find_quarantine(self, parts: Collection[str]) -> Quarantine | None:
        """Return the quarantine that a request with these parts is under."""
        for quarantine in self._quarantines.values():
            if quarantine.parts.issubset(parts):
                return quarantine
        return None

    @property
    def has_pending(self) -> bool:
        """Return whether evidence has yet to settle."""
        return bool(self._pending)

    def is_pending(self, parts: Collection[str]) -> bool:
        """Return whether parts may be quarantined within a moment."""
        return any(pending.issubset(parts) for pending in self._pending)

    def review(self) -> list[Quarantine]:
        """Return the quarantines that the evidence newly requires."""
        self.records.drop_old()
        now = self._clock.monotonic()
        added = []
        pending: set[frozenset[str]] = set()
        for parts, evidence in self._list_suspects():
            if parts in pending:
                continue
            if parts in self._quarantines:
                self._quarantines[parts] = self._quarantines[parts]._replace(
                    last_crash_at=evidence.last_crash_at,
                    crashes=len(evidence.targets),
                )
                continue
            if now - evidence.last_crash_at < self._rules.settle_s:
                pending.add(parts)
                continue
            found = Quarantine(
                parts,
                now,
                evidence.last_crash_at,
                len(evidence.targets),
                probe_at=now + _PROBE_DELAYS_S[0],
            )
            if self._add(found):
                added.append(found)
        self._pending = frozenset(pending)
        return added

    def assess(self, part: str) -> Evidence:
        """Return the evidence against a part."""
        return self.records.assess(part, self._is_explained)

    def adopt(self, quarantine: Quarantine) -> bool:
        """Adopt another host's quarantine; return whether it is news.

        Parts that were answered since its last crash are left out, unless
        operators have banned them.
        """
        lifted_at = self._lifted_at.get(quarantine.parts)
        if lifted_at is not None and lifted_at >= quarantine.last_crash_at:
            return False
        parts = frozenset(
            part
            for part in quarantine.parts
            if quarantine.is_banned
            or not self.records.is_answered_since(
                part, quarantine.last_crash_at
            )
        )
        if not parts:
            return False
        is_known = parts in self._quarantines
        if not is_known and self.find_quarantine(parts) is not None:
            return False
        return self._add_or_merge(quarantine._replace(parts=parts))

    def ban(self, parts: frozenset[str]) -> None:
        """Quarantine parts until operators release them."""
        now = self._clock.monotonic()
        self._quarantines[parts] = Quarantine(
            parts, now, now, 0, is_banned=True
        )

    def lift(self, parts: frozenset[str], lifted_at: float) -> bool:
        """End a quarantine that is older; return whether that is news."""
        if lifted_at <= self._lifted_at.get(parts, _NEVER) + _SAME_LIFT_S:
            return False
        self._lifted_at.pop(parts, None)
        self._lifted_at[parts] = lifted_at
        while len(self._lifted_at) > self._rules.max_quarantines:
            self._lifted_at.pop(next(iter(self._lifted_at)))
        known = self._quarantines.get(parts)
        if known is not None and known.last_crash_at <= lifted_at:
            self._quarantines.pop(parts)
        self.record_answer(parts, lifted_at)
        return True

    def record_probe(self, quarantine: Quarantine) -> Quarantine:
        """Count a probe; return the quarantine with the time of the next."""
        probes = quarantine.probes + 1
        delay_s = find_probe_delay_s(probes)
        probe_at = float('inf')
        if delay_s is not None:
            probe_at = self._clock.monotonic() + delay_s
        counted = quarantine._replace(probes=probes, probe_at=probe_at)
        self._quarantines[quarantine.parts] = counted
        return counted

    def _add_or_merge(self, quarantine: Quarantine) -> bool:
        """Return whether this changes which requests are accepted."""
        known = self._quarantines.get(quarantine.parts)
        if known is None:
            return self._add(quarantine)
        merged = _merge_quarantines(known, quarantine)
        self._quarantines[quarantine.parts] = merged
        return merged.is_banned != known.is_banned

    def _add(self, quarantine: Quarantine) -> bool:
        if len(self._quarantines) >= self._rules.max_quarantines:
            return False
        for known in list(self._quarantines):
            if known > quarantine.parts and not (
                self._quarantines[known].is_banned
            ):
                self._quarantines.pop(known)
        self._quarantines[quarantine.parts] = quarantine
        return True

    def _narrow_quarantines(
        self, parts: Collection[str], answered_at: float
    ) -> bool:
        """Remove answered parts from quarantines; return whether any had one.

        Parts that are still in quarantine are what may have caused the crashes.
        """
        has_changed = False
        for known, quarantine in list(self._quarantines.items()):
            answered = known.intersection(parts)
            is_newer = answered_at > quarantine.last_crash_at
            if not answered or not is_newer or quarantine.is_banned:
                continue
            if known not in self._quarantines:
                # A narrowed quarantine has replaced it.
                continue
            has_changed = True
            self._quarantines.pop(known)
            remaining = known - answered
            if remaining:
                self._add_or_merge(quarantine._replace(parts=remaining))
        return has_changed

    def _list_suspects(self) -> Iterable[Suspect]:
        """Yield parts with sufficient evidence, the strongest first.

        Parts that share all crashes of a stronger one are yielded with it.
        """
        suspects = self._rank_suspects()
        for part in suspects:
            # An earlier quarantine may explain some of its crashes by now.
            found = self.assess(part)
            if found.is_sufficient:
                yield Suspect(self._find_equals(part, suspects), found)

    def _rank_suspects(self) -> list[str]:
        evidence = {
            part: self.assess(part)
            for part in self.records.list_repeated_parts()
        }
        return sorted(
            (part for part, found in evidence.items() if found.is_sufficient),
            key=lambda part: (
                self.records.answered_at(part) is not None,
                -evidence[part].weight,
                part,
            ),
        )

    def _find_equals(self, part: str, suspects: list[str]) -> frozenset[str]:
        """Return the suspects that can't be told apart from a part."""
        targets = set(self.assess(part).targets)
        was_answered = self.records.answered_at(part) is not None
        return frozenset(
            other
            for other in suspects
            if targets <= set(self.assess(other).targets)
            and (self.records.answered_at(other) is not None) == was_answered
        )

    def _is_explained(self, record: CrashRecord, part: str) -> bool:
        """Return whether other parts in quarantine explain a crash."""
        return any(
            part not in known and known <= record.parts.keys()
            for known in self._quarantines
        )


def _merge_quarantines(known: Quarantine, other: Quarantine) -> Quarantine:
    last_crash_at = known.last_crash_at
    if other.last_crash_at > last_crash_at + REPORT_ERROR_S:
        last_crash_at = other.last_crash_at
    return known._replace(
        last_crash_at=last_crash_at,
        crashes=max(known.crashes, other.crashes),
        probes=max(known.probes, other.probes),
        probe_at=(
            other.probe_at if other.probes > known.probes else known.probe_at
        ),
        is_banned=known.is_banned or other.is_banned,
    )
