"""Charge requests to the quotas of their client accounts."""

import asyncio
import http
from collections.abc import Callable
from typing import NamedTuple

from prometheus_client import CollectorRegistry, Counter, Gauge

from cassiarail.core.clock import Clock
from cassiarail.core.events import emit_event
from cassiarail.core.verdict import Verdict
from cassiarail.edge.events import QUOTA_EXCEEDED, QUOTA_KEPT
from cassiarail.edge.requests.jobs import Job
from cassiarail.edge.requests.refusals import Refusal
from cassiarail.limits.quotas import Decision, HostQuotas, SpendResult
from cassiarail.security.accounts import ClientAccount

# A request waits for the leader's answer this long, and this long on a host
# that has just started and has heard no leader yet.
_WAIT_S = 0.15
_WAIT_FRESH_S = 0.7
# An answer that hasn't come within this time is asked for again.
_ASK_AGAIN_S = 0.05
_RETRY_UNANSWERED_S = 0.3
# Refusals of an account that are further apart are two episodes.
_EPISODE_GAP_S = 5.0


class QuotaMetrics:
    """Record the units of client accounts on this host."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self.spent = Counter(
            'cassiarail_quota_spent_units_total',
            'Units of the quota of requests that were admitted.',
            ['account'],
            registry=registry,
        )
        self.returned = Counter(
            'cassiarail_quota_returned_units_total',
            'Units given back by requests that ended as not run.',
            ['account'],
            registry=registry,
        )
        self.refused = Counter(
            'cassiarail_quota_refused_units_total',
            'Units of requests refused for the quota.',
            ['account'],
            registry=registry,
        )
        self.held = Gauge(
            'cassiarail_quota_held_units',
            'Units that this host may spend without asking the leader.',
            ['account'],
            registry=registry,
        )

    def refresh(self, quotas: HostQuotas) -> None:
        """Update the gauges before they are read."""
        for account, held in quotas.list_held().items():
            self.held.labels(account).set(held)


class _Episode:
    """Hold the refusals of an account that follow each other."""

    def __init__(self, began_at: float) -> None:
        self.began_at = began_at
        self.refused_at = began_at
        self.requests = 0
        self.units = float(0)


class _Charge(NamedTuple):
    """Hold what a request in progress has spent."""

    units: float
    spent_at: float


class QuotaParts(NamedTuple):
    """Hold the collaborators of a gate.

    ``ask_leader`` reports soon what waiting requests need.
    """

    quotas: HostQuotas
    metrics: QuotaMetrics
    ask_leader: Callable[[], None]


class QuotaGate:
    """Admit requests within the quotas of their accounts."""

    def __init__(self, parts: QuotaParts, clock: Clock) -> None:
        self._quotas = parts.quotas
        self._metrics = parts.metrics
        self._ask_leader = parts.ask_leader
        self._clock = clock
        self._changed = asyncio.Event()
        self._charges: dict[Job, _Charge] = {}
        self._episodes: dict[str, _Episode] = {}

    async def charge(self, job: Job) -> None:
        """Spend the units of a request.

        Raises ``Refusal`` if its account is over its quota.
        """
        account = job.account
        if account is None or account.quota is None:
            return
        request = job.request
        cost = account.quota.compute_cost(
            request.prompt_tokens, request.output_tokens
        )
        spend_result = self._quotas.try_spend(account, cost)
        if spend_result.decision is Decision.ASK_LEADER:
            spend_result = await self._wait(account, cost)
        if spend_result.decision is Decision.ADMITTED:
            self._charges[job] = _Charge(cost, self._clock.monotonic())
            self._metrics.spent.labels(account.name).inc(cost)
            return
        self._refuse(account, cost, spend_result)

    def settle(self, job: Job) -> None:
        """Return the units of a request that has ended without a run."""
        charge = self._charges.pop(job, None)
        account = job.account
        if account is None or charge is None:
            return
        if job.verdict is not Verdict.NOT_RUN:
            return
        if self._quotas.give_back(account, charge.units, charge.spent_at):
            self._metrics.returned.labels(account.name).inc(charge.units)

    def wake(self) -> None:
        """Let waiting requests try again."""
        self._changed.set()
        self._changed = asyncio.Event()

    def end_episodes(self) -> None:
        """Log the accounts that are refused no longer."""
        now = self._clock.monotonic()
        for name, episode in tuple(self._episodes.items()):
            if now - episode.refused_at < _EPISODE_GAP_S:
                continue
            self._episodes.pop(name)
            emit_event(
                QUOTA_KEPT,
                account=name,
                seconds=episode.refused_at - episode.began_at,
                requests=episode.requests,
                units=episode.units,
            )

    def refresh_metrics(self) -> None:
        """Update the gauges before they are read."""
        self._metrics.refresh(self._quotas)

    async def _wait(self, account: ClientAccount, cost: float) -> SpendResult:
        """Wait until the leader has granted or denied units."""
        wait_s = _WAIT_S if self._quotas.has_heard else _WAIT_FRESH_S
        until = self._clock.monotonic() + wait_s
        self._quotas.change_urgent(account, cost)
        spend_result = SpendResult(Decision.ASK_LEADER)
        try:
            while (
                spend_result.decision is Decision.ASK_LEADER
                and self._clock.monotonic() < until
            ):
                self._ask_leader()
                await self._wait_for_change()
                spend_result = self._quotas.try_again(account, cost)
        finally:
            self._quotas.change_urgent(account, -cost)
        return spend_result

    async def _wait_for_change(self) -> None:
        try:
            async with asyncio.timeout(_ASK_AGAIN_S):
                await self._changed.wait()
        except TimeoutError:
            return

    def _refuse(
        self, account: ClientAccount, cost: float, spend_result: SpendResult
    ) -> None:
        self._metrics.refused.labels(account.name).inc(cost)
        self._record_refusal(account.name, cost)
        if spend_result.decision is Decision.ASK_LEADER:
            raise Refusal(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                'the use of the account is not known now',
                _RETRY_UNANSWERED_S,
            )
        raise Refusal(
            http.HTTPStatus.TOO_MANY_REQUESTS,
            'the account is over its quota',
            spend_result.retry_after_s,
        )

    def _record_refusal(self, name: str, cost: float) -> None:
        now = self._clock.monotonic()
        episode = self._episodes.get(name)
        if episode is None:
            episode = _Episode(now)
            self._episodes[name] = episode
            emit_event(
                QUOTA_EXCEEDED,
                account=name,
                units=cost,
                held=self._quotas.list_held().get(name, 0),
                is_alone=self._quotas.is_alone(),
                hosts=self._quotas.hosts,
            )
        episode.refused_at = now
        episode.requests += 1
        episode.units += cost
