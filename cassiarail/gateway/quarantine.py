"""Quarantine the requests that crash targets.

A suspect runs under a claim on its target and its own fingerprint, which is
announced to the other gateways of the data centre before the request is sent.
Gateways that claim at the same time see each other's claims and all back off.
"""

import contextlib
import random
from collections.abc import (
    AsyncIterator,
    Awaitable,
    Callable,
    Iterable,
)
from typing import NamedTuple

import anyio

from cassiarail.core.clock import Clock
from cassiarail.limits.suspicion import (
    Announcement,
    Claim,
    CrashNotice,
    ListedFingerprint,
    QuarantinedError,
    SuspectBusyError,
    SuspicionRecords,
)

Announce = Callable[[Announcement], Awaitable[None]]


class QuarantineRules(NamedTuple):
    """Hold the timings of suspect attempts, in seconds.

    ``announce_timeout_s`` limits how long a retry or response waits for the
    peers; ``claim_s`` limits the claim of a gateway that has failed. A
    suspect waits ``settle_s`` for replies of gateways that already run it.
    """

    announce_timeout_s: float = 1.0
    claim_s: float = 60.0
    claim_attempts: int = 4
    claim_backoff_s: float = 0.1
    settle_s: float = 0.2


class Run(NamedTuple):
    """Identify one attempt in flight at an instance of a target."""

    fingerprint: str
    target: str
    instance: str
    number: int


class Quarantine:
    """Track crashes by fingerprint and decide what may run where."""

    def __init__(
        self,
        gateway: str,
        clock: Clock,
        generator: random.Random,
        announce: Announce,
        rules: QuarantineRules | None = None,
    ) -> None:
        """Accept the unique gateway name and a function to reach its peers.

        ``announce`` returns when the reachable peers have acknowledged.
        """
        self._gateway = gateway
        self._clock = clock
        self._generator = generator
        self._announce = announce
        self._rules = rules or QuarantineRules()
        self._running: dict[int, Run] = {}
        self._claims: dict[int, Claim] = {}
        self._announcing: dict[str, anyio.Event] = {}
        self._last_number = 0
        self.records = SuspicionRecords(clock)

    def check(self, fingerprint: str) -> None:
        """Raise ``QuarantinedError`` if a request must not run."""
        if self.records.is_quarantined(fingerprint):
            raise QuarantinedError('the request has crashed two targets')

    def list_usable(
        self,
        fingerprint: str,
        targets: Iterable[str],
    ) -> list[str]:
        """Return the targets on which a request may run now."""
        if not self.records.is_suspect(fingerprint):
            return list(targets)
        return [
            target
            for target in targets
            if not self.records.find_claims(fingerprint, target)
        ]

    @contextlib.asynccontextmanager
    async def watch(
        self,
        fingerprint: str,
        target: str,
        find_instance: Callable[[], str],
    ) -> AsyncIterator[Run]:
        """Run the block as an attempt of a request at a target.

        Raises ``QuarantinedError`` or, if another suspect has claimed the
        target or the request runs on another target, ``SuspectBusyError``; the
        attempt has not run then. A block that returns is a success. A block
        that detects a crash calls ``record_crash`` before it ends.
        ``find_instance`` is called when the block begins, because the target
        may be replaced while a suspect waits for its claim.
        """
        self.check(fingerprint)
        claim: Claim | None = None
        if self.records.is_suspect(fingerprint):
            claim = await self._claim(fingerprint, target)
        self._last_number += 1
        run = Run(fingerprint, target, find_instance(), self._last_number)
        self._running[run.number] = run
        if claim is not None:
            self._claims[run.number] = claim
        try:
            yield run
            # A crash during the announcement must not affect this attempt.
            self._running.pop(run.number, None)
            await self._clear(run)
        finally:
            await self._end(run)

    async def record_crash(self, run: Run) -> None:
        """Mark all requests in flight at the crashed instance as suspects.

        Returns when the peers are informed; retry or respond only after that.
        Each request in flight reports the crash: the first call announces it
        for all, and the others wait for that announcement.
        """
        crash_id = f'{run.target}@{run.instance}'
        fingerprints = self._end_runs(run.target, run.instance)
        crash = frozenset((crash_id,))
        self.records.add_crashes(
            CrashNotice(name, crash) for name in fingerprints
        )
        # Announce all known crashes, because a peer may lack earlier ones.
        notices = self.records.describe(fingerprints)
        if notices:
            claims = self._claim_running(fingerprints)
            await self._announce_crash(
                crash_id,
                Announcement(self._gateway, crashes=notices, claims=claims),
            )
            return
        announced = self._announcing.get(crash_id)
        if announced is not None:
            await announced.wait()

    async def _announce_crash(
        self,
        crash_id: str,
        announcement: Announcement,
    ) -> None:
        """Announce a crash even if the reporting request is cancelled."""
        announced = self._announcing.setdefault(crash_id, anyio.Event())
        with anyio.CancelScope(shield=True):
            await self._announce_with_timeout(announcement)
        announced.set()
        self._announcing.pop(crash_id, None)

    def _claim_running(self, fingerprints: Iterable[str]) -> list[Claim]:
        """Create claims for running attempts whose requests became suspects."""
        suspects = frozenset(fingerprints)
        claims = []
        for run in self._running.values():
            if run.fingerprint in suspects and run.number not in self._claims:
                claim = self._make_claim(run.fingerprint, run.target)
                self._claims[run.number] = claim
                self.records.add_claim(claim)
                claims.append(claim)
        return claims

    def _make_claim(self, fingerprint: str, target: str) -> Claim:
        self._last_number += 1
        name = f'{self._gateway}#{self._last_number}'
        return Claim(name, fingerprint, target, self._rules.claim_s)

    async def lift(self, fingerprint: str) -> bool:
        """Lift a quarantine or suspicion for an operator.

        Returns ``False`` for an unknown fingerprint.
        """
        notice = self.records.clear(fingerprint)
        if notice is None:
            return False
        await self._announce_with_timeout(
            Announcement(self._gateway, lifted=[notice])
        )
        return True

    def list_entries(self) -> list[ListedFingerprint]:
        """Return the quarantined fingerprints and suspects for operators."""
        return self.records.list_entries()

    def merge(self, announcement: Announcement) -> Announcement | None:
        """Merge another gateway's announcement, in any order and repeatedly.

        Returns what must be announced to all gateways in reply: claims for new
        suspects that are already running here.
        """
        if announcement.gateway == self._gateway:
            return None
        self.records.merge(announcement)
        claims = self._claim_running(
            notice.fingerprint
            for notice in announcement.crashes
            if self.records.is_suspect(notice.fingerprint)
        )
        if not claims:
            return None
        return Announcement(self._gateway, claims=claims)

    def merge_snapshot(
        self,
        quarantined: Iterable[str],
        suspects: Iterable[str],
    ) -> None:
        """Merge the fingerprints of a routing snapshot."""
        self.records.merge_snapshot(quarantined, suspects)

    def _end_runs(self, target: str, instance: str) -> set[str]:
        """Remove the attempts at an instance and return their fingerprints."""
        ended = [
            run
            for run in self._running.values()
            if (run.target, run.instance) == (target, instance)
        ]
        for run in ended:
            self._running.pop(run.number)
        return {attempt.fingerprint for attempt in ended}

    async def _end(self, run: Run) -> None:
        """Remove an attempt and release its claim, even when cancelled."""
        self._running.pop(run.number, None)
        claim = self._claims.pop(run.number, None)
        if claim is not None:
            with anyio.CancelScope(shield=True):
                await self._release(claim)

    async def _clear(self, run: Run) -> None:
        # A complete response clears the request even if its target crashed at
        # the same time.
        if not self.records.is_suspect(run.fingerprint):
            return
        notice = self.records.clear(run.fingerprint)
        if notice is not None:
            await self._announce_with_timeout(
                Announcement(self._gateway, cleared=[notice])
            )

    async def _claim(self, fingerprint: str, target: str) -> Claim:
        for attempt in range(self._rules.claim_attempts):
            claim = await self._try_claim(fingerprint, target)
            if claim is not None:
                return claim
            # Full jitter: gateways that backed off for each other retry at
            # different times.
            max_delay_s = self._rules.claim_backoff_s * 2**attempt
            await self._clock.sleep(self._generator.uniform(0, max_delay_s))
            self.check(fingerprint)
        raise SuspectBusyError(
            'the request was in flight at a crash; another attempt at it or'
            ' at a request like it is still running',
            retry_after_s=self._rules.claim_backoff_s
            * 2**self._rules.claim_attempts,
        )

    async def _try_claim(self, fingerprint: str, target: str) -> Claim | None:
        """Claim the target and the fingerprint; return None on conflict."""
        if self.records.find_claims(fingerprint, target):
            return None
        claim = self._make_claim(fingerprint, target)
        self.records.add_claim(claim)
        try:
            await self._announce_with_timeout(
                Announcement(self._gateway, claims=[claim])
            )
            # Replies to the crash or the claim may still be in transit.
            await self._clock.sleep(self._rules.settle_s)
        except BaseException:
            self.records.end_claim(claim.name)
            raise
        competing_claims = self.records.find_claims(fingerprint, target) - {
            claim.name
        }
        if competing_claims or self.records.is_quarantined(fingerprint):
            await self._release(claim)
            self.check(fingerprint)
            return None
        return claim

    async def _release(self, claim: Claim) -> None:
        self.records.end_claim(claim.name)
        await self._announce_with_timeout(
            Announcement(self._gateway, ended=[claim.name])
        )

    async def _announce_with_timeout(self, announcement: Announcement) -> None:
        """Announce, with a timeout for unresponsive peers."""
        with anyio.move_on_after(self._rules.announce_timeout_s):
            await self._announce(announcement)
