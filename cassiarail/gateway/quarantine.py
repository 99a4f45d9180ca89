"""Quarantine the requests that crash targets.

A suspect runs under a claim on its target and on its own fingerprint that the
other gateways of the data centre know of before it is sent. Two gateways that
claim at the same time both see the other's claim and give way.
"""

import contextlib
import random
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from typing import NamedTuple

import anyio

from cassiarail.core.clock import Clock
from cassiarail.limits.suspicion import (
    Announcement,
    Claim,
    ListedFingerprint,
    Notice,
    QuarantinedError,
    SuspectBusyError,
    SuspicionRecords,
)

Announce = Callable[[Announcement], Awaitable[None]]


class QuarantineRules(NamedTuple):
    """Hold the times of trials in seconds.

    ``announce_timeout_s`` bounds how long a retry or response waits for the
    peers; ``claim_s`` ends the claim of a gateway that has vanished.
    """

    announce_timeout_s: float = 1.0
    claim_s: float = 60.0
    claim_attempts: int = 4
    claim_backoff_s: float = 0.1


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
        """Take the gateway's unique name and how to tell its peers.

        ``announce`` returns when the reachable peers have acknowledged.
        """
        self._gateway = gateway
        self._clock = clock
        self._generator = generator
        self._announce = announce
        self._rules = rules or QuarantineRules()
        self._running: dict[int, Run] = {}
        self._started = 0
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
        """Return the targets on which a request may run at present."""
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
        instance: str,
    ) -> AsyncIterator[Run]:
        """Run the block as an attempt of a request at a target.

        Raises ``QuarantinedError`` or, if another suspect holds the target or
        the request is tried elsewhere, ``SuspectBusyError``; the attempt was
        not run then. A block that returns is a success. A block that learns
        of a crash calls ``record_crash`` before it ends.
        """
        self.check(fingerprint)
        claim: Claim | None = None
        if self.records.is_suspect(fingerprint):
            claim = await self._claim(fingerprint, target)
        self._started += 1
        run = Run(fingerprint, target, instance, self._started)
        self._running[run.number] = run
        try:
            yield run
            await self._clear(run)
        finally:
            self._running.pop(run.number, None)
            if claim is not None:
                with anyio.CancelScope(shield=True):
                    await self._release(claim)

    async def record_crash(self, target: str, instance: str) -> None:
        """Suspect all that was in flight at an instance that crashed.

        Returns when the peers know; retry or respond only after that. Later
        calls for the same crash announce only what they find new.
        """
        fingerprints = self._end_runs(target, instance)
        crash = frozenset((f'{target}@{instance}',))
        self.records.add_crashes(Notice(name, crash) for name in fingerprints)
        # All known crashes are told, because a peer may lack earlier ones.
        notices = self.records.describe(fingerprints)
        if notices:
            await self._tell(Announcement(self._gateway, crashes=notices))

    async def lift(self, fingerprint: str) -> bool:
        """Lift a quarantine or suspicion for an operator.

        Returns ``False`` for an unknown fingerprint.
        """
        notice = self.records.clear(fingerprint)
        if notice is None:
            return False
        await self._tell(Announcement(self._gateway, lifted=[notice]))
        return True

    def list_entries(self) -> list[ListedFingerprint]:
        """Return the quarantined fingerprints and suspects for operators."""
        return self.records.list_entries()

    def merge(self, announcement: Announcement) -> None:
        """Take what another gateway announced, in any order and repeatedly."""
        if announcement.gateway != self._gateway:
            self.records.merge(announcement)

    def merge_names(
        self,
        quarantined: Iterable[str],
        suspects: Iterable[str],
    ) -> None:
        """Take the fingerprints of a routing snapshot."""
        self.records.merge_names(quarantined, suspects)

    def _end_runs(self, target: str, instance: str) -> set[str]:
        """Forget the attempts at an instance and return their fingerprints."""
        ended = [
            run
            for run in self._running.values()
            if (run.target, run.instance) == (target, instance)
        ]
        for run in ended:
            self._running.pop(run.number)
        return {attempt.fingerprint for attempt in ended}

    async def _clear(self, run: Run) -> None:
        if run.number not in self._running:
            # The target crashed although the block returned.
            return
        if not self.records.is_suspect(run.fingerprint):
            return
        notice = self.records.clear(run.fingerprint)
        if notice is not None:
            await self._tell(Announcement(self._gateway, cleared=[notice]))

    async def _claim(self, fingerprint: str, target: str) -> Claim:
        for attempt in range(self._rules.claim_attempts):
            claim = await self._try_claim(fingerprint, target)
            if claim is not None:
                return claim
            # Full jitter: gateways that gave way to each other come back at
            # different times.
            ceiling = self._rules.claim_backoff_s * 2**attempt
            await self._clock.sleep(self._generator.uniform(0, ceiling))
            self.check(fingerprint)
        raise SuspectBusyError(
            'the request was in flight at a crash; another attempt at it or'
            ' at a request like it is still running',
            retry_after_s=self._rules.claim_backoff_s
            * 2**self._rules.claim_attempts,
        )

    async def _try_claim(self, fingerprint: str, target: str) -> Claim | None:
        """Claim the target and the fingerprint, or give way."""
        if self.records.find_claims(fingerprint, target):
            return None
        self._started += 1
        claim = Claim(
            f'{self._gateway}#{self._started}',
            fingerprint,
            target,
            self._rules.claim_s,
        )
        self.records.add_claim(claim)
        try:
            await self._tell(Announcement(self._gateway, claims=[claim]))
        except BaseException:
            self.records.end_claim(claim.name)
            raise
        rivals = self.records.find_claims(fingerprint, target) - {claim.name}
        if rivals or self.records.is_quarantined(fingerprint):
            await self._release(claim)
            self.check(fingerprint)
            return None
        return claim

    async def _release(self, claim: Claim) -> None:
        self.records.end_claim(claim.name)
        await self._tell(Announcement(self._gateway, ended=[claim.name]))

    async def _tell(self, announcement: Announcement) -> None:
        """Announce, but don't let silent peers hold the caller for ever."""
        with anyio.move_on_after(self._rules.announce_timeout_s):
            await self._announce(announcement)
