"""Exchange what hosts know of crashes, without a leader.

News are sent to other hosts at once. In a small fleet everybody is told
directly; in a large one, each host passes news on to some others. Quarantines
and their ends are urgent: the host that decides one tells many others, and
each host passes it on several times, since datagrams may be lost and hosts may
be down. Each host also sends what it knows to one other host a second.
"""

import asyncio
import random
from collections.abc import Collection, Iterator, Mapping

import msgspec

from cassiarail.core.clock import Clock
from cassiarail.core.lifecycle import Component
from cassiarail.edge.crashes.quarantines import QuarantineListener, Quarantines
from cassiarail.edge.fleet.members import PeerBook
from cassiarail.edge.fleet.messages import (
    AnswerRow,
    CrashReport,
    CrashRow,
    LiftRow,
    QuarantineRow,
)
from cassiarail.edge.fleet.peers import PeerLink
from cassiarail.edge.fleet.traffic import TrafficKind
from cassiarail.http1.pool import Address
from cassiarail.limits.crash_attribution import CrashAttribution, Quarantine
from cassiarail.limits.crash_evidence import Crash, UnansweredPart

# News of the same moment are sent together; the jitter lets a host learn that
# another one has already reported the same answer.
_BATCH_S = (0.005, 0.02)
_INTERVAL_S = 1.0
# Crashes of this time are repeated to hosts that missed them.
_REPEATED_S = 30.0
_REPEATED_CRASHES = 6
# Up to this many hosts are told directly.
_MAX_DIRECT_PEERS = 12
_FANOUT = 5
# The host that decides urgent news tells this many others.
_DECIDED_FANOUT = 40
# Urgent news are passed on again after these times. If 60% of the hosts are
# down, two of five receivers are not: four rounds reach 99.97% of them.
_URGENT_REPEATS_S = (0.1, 0.2, 0.33)
# Parts of one datagram; more would not fit in one packet.
_MAX_PARTS = 32
_MAX_ANSWERS = 24
# Sources of a quarantine or its end that was decided on this host.
_OWN_SOURCES = frozenset(('evidence', 'operator', 'probe'))


class CrashExchange(Component, QuarantineListener):
    """Send and receive reports of crashes, answers and quarantines."""

    name = 'crash exchange'

    def __init__(
        self,
        host: str,
        link: PeerLink,
        quarantines: Quarantines,
        clock: Clock,
        generator: random.Random,
    ) -> None:
        self.peers = PeerBook(link.address, generator)
        self._host = host
        self._link = link
        self._quarantines = quarantines
        self._clock = clock
        self._generator = generator
        self._crashes: list[Crash] = []
        self._answers: dict[frozenset[str], float] = {}
        self._new_quarantines: dict[frozenset[str], Quarantine] = {}
        self._decided_here: set[frozenset[str]] = set()
        self._lifts: dict[frozenset[str], float] = {}
        self._is_scheduled = False
        quarantines.listeners.append(self)

    async def run(self) -> None:
        """Repeat what is known to one other host a second."""
        while True:
            await self._clock.sleep(_INTERVAL_S)
            if self._attribution.lifted or not self._attribution.is_idle:
                for address in self.peers.choose(1):
                    self._send_summary(address)

    def on_crash(self, crash: Crash) -> None:
        """Tell other hosts of a crash, and which parts were answered."""
        self._crashes.append(crash)
        for part in crash.parts:
            answered_at = self._attribution.records.answered_at(part)
            if answered_at is not None:
                self._answers[frozenset((part,))] = answered_at
        self._send_soon()

    def on_answer(self, parts: Collection[str], answered_at: float) -> None:
        """Tell other hosts of an answer that clears parts."""
        self._answers[frozenset(parts)] = answered_at
        self._send_soon()

    def on_quarantine(self, quarantine: Quarantine, source: str) -> None:
        """Tell other hosts of a quarantine."""
        self._new_quarantines[quarantine.parts] = quarantine
        self._record_source(quarantine.parts, source)
        self._send_soon()

    def on_lift(
        self, parts: frozenset[str], lifted_at: float, source: str
    ) -> None:
        """Tell other hosts that an operator has lifted a quarantine."""
        self._lifts[parts] = lifted_at
        self._record_source(parts, source)
        self._send_soon()

    def receive(self, report: CrashReport, sender: Address) -> None:
        """Merge what another host knows."""
        self.peers.record(sender)
        now = self._clock.monotonic()
        for answer in report.answers:
            answered_at = now - answer.answered_s
            self._forget_older_answer(frozenset(answer.parts), answered_at)
            self._quarantines.record_answer(
                answer.parts, answered_at, report.host
            )
        for row in report.crashes:
            self._quarantines.record_crash(
                Crash(
                    (row.instance, row.born_ms),
                    now - row.lost_s,
                    {
                        part: UnansweredPart(*unanswered)
                        for part, unanswered in row.parts.items()
                    },
                ),
                report.host,
            )
        for lift in report.lifts:
            self._quarantines.lift(
                frozenset(lift.parts), now - lift.lifted_s, report.host
            )
        for quarantine in report.quarantines:
            # Its sender has told many others.
            self._decided_here.discard(frozenset(quarantine.parts))
            self._quarantines.adopt(
                read_quarantine(quarantine, now), report.host
            )

    @property
    def _attribution(self) -> CrashAttribution:
        return self._quarantines.attribution

    def _forget_older_answer(
        self, parts: frozenset[str], answered_at: float
    ) -> None:
        """Drop an answer that this host was about to report."""
        waiting_at = self._answers.get(parts)
        if waiting_at is not None and waiting_at <= answered_at:
            self._answers.pop(parts)

    def _send_soon(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_later(
                self._generator.uniform(*_BATCH_S), self._send_news
            )

    def _send_news(self) -> None:
        self._is_scheduled = False
        urgent = list(
            self._make_reports([], {}, self._new_quarantines, self._lifts)
        )
        other = list(self._make_reports(self._crashes, self._answers, {}, {}))
        is_decided_here = bool(self._decided_here)
        self._crashes = []
        self._answers = {}
        self._new_quarantines = {}
        self._lifts = {}
        self._decided_here.clear()
        is_small = len(self.peers) <= _MAX_DIRECT_PEERS
        if urgent:
            many = _DECIDED_FANOUT if is_decided_here else _FANOUT
            count = _MAX_DIRECT_PEERS if is_small else many
            self._send_to_some(urgent, count)
            if not is_small:
                self._repeat(urgent)
        if other:
            count = _MAX_DIRECT_PEERS if is_small else _FANOUT
            self._send_to_some(other, count)

    def _record_source(self, parts: frozenset[str], source: str) -> None:
        """Record whether this host has to tell many others."""
        if source in _OWN_SOURCES:
            self._decided_here.add(parts)

    def _repeat(self, reports: list[CrashReport]) -> None:
        """Pass urgent news on again; ages grow by the delay meanwhile."""
        loop = asyncio.get_running_loop()
        for delay_s in _URGENT_REPEATS_S:
            loop.call_later(
                delay_s,
                self._send_to_some,
                [_add_age(report, delay_s) for report in reports],
                _FANOUT,
            )

    def _send_to_some(self, reports: list[CrashReport], count: int) -> None:
        for address in self.peers.choose(count):
            for report in reports:
                self._link.send(report, address, TrafficKind.CRASH_REPORT)

    def _send_summary(self, address: Address) -> None:
        crashes = [
            crash
            for crash, _index in zip(
                self._attribution.records.list_crashes(_REPEATED_S),
                range(_REPEATED_CRASHES),
                strict=False,
            )
        ]
        answers = {}
        for crash in crashes:
            for part in crash.parts:
                answered_at = self._attribution.records.answered_at(part)
                if answered_at is not None:
                    answers[frozenset((part,))] = answered_at
        for report in self._make_reports(
            crashes,
            answers,
            {each.parts: each for each in self._attribution.quarantines},
            self._attribution.lifted,
        ):
            self._link.send(report, address, TrafficKind.CRASH_REPORT)

    def _make_reports(
        self,
        crashes: list[Crash],
        answers: Mapping[frozenset[str], float],
        quarantines: Mapping[frozenset[str], Quarantine],
        lifts: Mapping[frozenset[str], float],
    ) -> Iterator[CrashReport]:
        """Yield the datagrams of some news, answers first."""
        now = self._clock.monotonic()
        answer_rows = [
            AnswerRow(sorted(parts), now - answered_at)
            for parts, answered_at in answers.items()
        ]
        quarantine_rows = [
            describe_quarantine(each, now) for each in quarantines.values()
        ]
        lift_rows = [
            LiftRow(sorted(parts), now - lifted_at)
            for parts, lifted_at in lifts.items()
        ]
        while answer_rows or quarantine_rows or lift_rows:
            yield CrashReport(
                self._host,
                answers=answer_rows[:_MAX_ANSWERS],
                lifts=lift_rows[:_MAX_ANSWERS],
                quarantines=quarantine_rows[:_MAX_ANSWERS],
            )
            answer_rows = answer_rows[_MAX_ANSWERS:]
            lift_rows = lift_rows[_MAX_ANSWERS:]
            quarantine_rows = quarantine_rows[_MAX_ANSWERS:]
        for crash in crashes:
            for row in _split_crash(crash, now):
                yield CrashReport(self._host, crashes=[row])


def describe_quarantine(quarantine: Quarantine, now: float) -> QuarantineRow:
    """Return the row of a quarantine, with ages in place of times."""
    is_last = quarantine.probe_at == float('inf')
    return QuarantineRow(
        sorted(quarantine.parts),
        now - quarantine.since,
        now - quarantine.last_crash_at,
        quarantine.crashes,
        quarantine.probes,
        -1 if is_last else max(0, quarantine.probe_at - now),
        quarantine.is_banned,
    )


def read_quarantine(row: QuarantineRow, now: float) -> Quarantine:
    """Return the quarantine of a row."""
    return Quarantine(
        frozenset(row.parts),
        now - row.since_s,
        now - row.last_crash_s,
        row.crashes,
        row.probes,
        float('inf') if row.probe_in_s < 0 else now + row.probe_in_s,
        row.is_banned,
    )


def _add_age(report: CrashReport, seconds: float) -> CrashReport:
    """Return urgent news as they are sent after a delay."""
    return CrashReport(
        report.host,
        lifts=[
            LiftRow(row.parts, row.lifted_s + seconds) for row in report.lifts
        ],
        quarantines=[
            msgspec.structs.replace(
                row,
                since_s=row.since_s + seconds,
                last_crash_s=row.last_crash_s + seconds,
                probe_in_s=max(0, row.probe_in_s - seconds)
                if row.probe_in_s >= 0
                else row.probe_in_s,
            )
            for row in report.quarantines
        ],
    )


def _split_crash(crash: Crash, now: float) -> Iterator[CrashRow]:
    parts = list(crash.parts.items())
    for start in range(0, len(parts), _MAX_PARTS):
        yield CrashRow(
            *crash.target,
            now - crash.lost_at,
            {
                part: (
                    unanswered.oldest_s,
                    unanswered.newest_s,
                    unanswered.rank,
                )
                for part, unanswered in parts[start : start + _MAX_PARTS]
            },
        )
