"""Decide which parts of prompts are quarantined, and log why."""

import asyncio
import itertools
from collections.abc import Collection, Iterable
from typing import NamedTuple

from cassiarail.core.clock import Clock
from cassiarail.core.events import emit_event
from cassiarail.edge.events import (
    PARTS_CLEARED,
    PARTS_QUARANTINED,
    PARTS_RELEASED,
    TARGET_CRASHED,
)
from cassiarail.limits.crash_attribution import CrashAttribution, Quarantine
from cassiarail.limits.crash_evidence import Crash

# Requests wait for a decision that is due, which takes as long as evidence
# takes to settle (0.15 s) and the interval of reviews.
_DECISION_S = 0.3
_REVIEW_INTERVAL_S = 0.03
_MAX_LOGGED_PARTS = 12
# Callers are told to come back when the next probe is due, within these limits.
_MIN_RETRY_AFTER_S = 5.0
_MAX_RETRY_AFTER_S = 60.0


class Decision(NamedTuple):
    """Hold whether a request is refused, and when it may come back."""

    quarantine: Quarantine | None
    retry_after_s: float | None = None


class QuarantineListener:
    """Be told of what other hosts have to know; the methods do nothing."""

    def on_crash(self, crash: Crash) -> None:
        """Handle parts of a crash that were not known yet."""

    def on_answer(self, parts: Collection[str], answered_at: float) -> None:
        """Handle an answer that clears parts."""

    def on_quarantine(self, quarantine: Quarantine, source: str) -> None:
        """Handle a new quarantine; ``source`` is where it was decided."""

    def on_release(self, parts: frozenset[str]) -> None:
        """Handle the end of a quarantine."""

    def on_lift(
        self, parts: frozenset[str], lifted_at: float, source: str
    ) -> None:
        """Handle that an operator has lifted a quarantine."""


class Quarantines:
    """Review the evidence as it comes in, and tell listeners of changes."""

    def __init__(self, attribution: CrashAttribution, clock: Clock) -> None:
        self.attribution = attribution
        self.listeners: list[QuarantineListener] = []
        self._clock = clock
        self._is_review_scheduled = False

    @property
    def all(self) -> list[Quarantine]:
        """Return all quarantines."""
        return self.attribution.quarantines

    def record_probe(self, quarantine: Quarantine) -> None:
        """Count a probe that this host sends, and tell other hosts."""
        counted = self.attribution.record_probe(quarantine)
        for listener in self.listeners:
            listener.on_quarantine(counted, 'probe')

    def record_crash(self, crash: Crash, source: str) -> None:
        """Merge a crash that this host or another one has seen."""
        news = self.attribution.records.record_crash(crash)
        if news is None:
            return
        emit_event(
            TARGET_CRASHED,
            target=crash.target[0],
            source=source,
            age_s=round(self._clock.monotonic() - crash.lost_at, 3),
            parts=list(itertools.islice(news.parts, _MAX_LOGGED_PARTS)),
            part_count=len(news.parts),
        )
        for listener in self.listeners:
            listener.on_crash(news)
        self._schedule_review()

    def record_answer(
        self, parts: Collection[str], answered_at: float, source: str
    ) -> None:
        """Record an answer; other hosts are told if it clears a part."""
        before = {each.parts for each in self.all}
        if not self.attribution.record_answer(parts, answered_at):
            return
        emit_event(
            PARTS_CLEARED,
            parts=list(parts),
            source=source,
            age_s=round(self._clock.monotonic() - answered_at, 3),
        )
        for listener in self.listeners:
            listener.on_answer(parts, answered_at)
        self._report_released(before, source)
        self._schedule_review()

    def adopt(self, quarantine: Quarantine, source: str) -> None:
        """Adopt a quarantine of another host or of the store.

        A host that still has one that was cleared since is told so.
        """
        if self.attribution.adopt(quarantine):
            self._report(quarantine, source)
            return
        for part in quarantine.parts:
            answered_at = self.attribution.records.answered_at(part)
            if answered_at and answered_at > quarantine.last_crash_at:
                for listener in self.listeners:
                    listener.on_answer((part,), answered_at)

    def ban(self, parts: frozenset[str], source: str) -> None:
        """Quarantine parts until operators release them."""
        self.attribution.ban(parts)
        found = self.attribution.find_quarantine(parts)
        if found is not None:
            self._report(found, source)

    def lift(
        self, parts: frozenset[str], lifted_at: float, source: str
    ) -> None:
        """End a quarantine because an operator has lifted it."""
        before = {each.parts for each in self.all}
        if not self.attribution.lift(parts, lifted_at):
            return
        for listener in self.listeners:
            listener.on_lift(parts, lifted_at, source)
        self._report_released(before, source)

    async def decide(self, parts: Collection[str]) -> Decision:
        """Return whether a request is refused; wait if that is undecided."""
        if self.attribution.is_idle:
            return Decision(None)
        until = self._clock.monotonic() + _DECISION_S
        while self.attribution.is_pending(parts):
            if self._clock.monotonic() >= until:
                break
            await self._clock.sleep(_REVIEW_INTERVAL_S)
        quarantine = self.attribution.find_quarantine(parts)
        if quarantine is None:
            return Decision(None)
        return Decision(
            quarantine,
            min(
                _MAX_RETRY_AFTER_S,
                max(
                    _MIN_RETRY_AFTER_S,
                    quarantine.probe_at - self._clock.monotonic(),
                ),
            ),
        )

    def _schedule_review(self) -> None:
        if not self._is_review_scheduled:
            self._is_review_scheduled = True
            asyncio.get_running_loop().call_later(
                _REVIEW_INTERVAL_S, self._review
            )

    def _review(self) -> None:
        self._is_review_scheduled = False
        for quarantine in self.attribution.review():
            self._report(quarantine, 'evidence')
        if self.attribution.has_pending:
            self._schedule_review()

    def _report(self, quarantine: Quarantine, source: str) -> None:
        evidence = [
            self.attribution.assess(part) for part in sorted(quarantine.parts)
        ]
        emit_event(
            PARTS_QUARANTINED,
            parts=sorted(quarantine.parts),
            source=source,
            crashes=quarantine.crashes,
            since_s=round(self._clock.monotonic() - quarantine.since, 3),
            evidence=round(max(each.weight for each in evidence), 1),
            targets=sorted(
                {each[0] for one in evidence for each in one.targets}
            ),
            banned=quarantine.is_banned,
        )
        for listener in self.listeners:
            listener.on_quarantine(quarantine, source)

    def _report_released(
        self, before: Iterable[frozenset[str]], source: str
    ) -> None:
        after = {each.parts for each in self.all}
        for parts in set(before) - after:
            emit_event(PARTS_RELEASED, parts=sorted(parts), source=source)
            for listener in self.listeners:
                listener.on_release(parts)
