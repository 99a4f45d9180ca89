"""Keep what is known of the work at targets, and estimate first tokens.

The estimate is used for services whose targets report how slow their machines
are; the targets of the others are chosen by their load alone.
"""

import asyncio
import contextlib
import random
from collections.abc import Callable, Iterable, Iterator, Sequence

from cassiarail.edge.dialect import CallerRequest, ReportedLoad
from cassiarail.edge.metrics import EdgeMetrics
from cassiarail.edge.registry.targets import ModelVariant, Target
from cassiarail.edge.requests.attempt_rules import AttemptRules
from cassiarail.edge.requests.jobs import Job
from cassiarail.http1.pool import ConnectionPool
from cassiarail.routing.earliest import EarliestStartSelector
from cassiarail.routing.first_tokens import (
    FirstTokenEstimator,
    Place,
    RequestSize,
    draw_candidates,
)
from cassiarail.routing.kept_prompts import (
    Beginnings,
    KeptPrompts,
    list_beginnings,
)


class TargetLoads:
    """Own the records of all targets' work; times are the event loop's."""

    def __init__(
        self,
        generator: random.Random,
        metrics: EdgeMetrics,
        share: Callable[[str, int], None],
        pool: ConnectionPool,
    ) -> None:
        """Call ``share`` with the loads that other hosts should know."""
        self._metrics = metrics
        self._pool = pool
        self._fresh_idle_s = AttemptRules().fresh_idle_s
        self._share = share
        self._generator = generator
        self.earliest_selector = EarliestStartSelector(generator)
        self._kept = KeptPrompts()
        self._estimator = FirstTokenEstimator(self._find_slowdown)
        self._estimated_services: set[str] = set()

    def can_estimate(self, job: Job) -> bool:
        """Return whether first tokens are estimated for a request."""
        return job.service.name in self._estimated_services

    def choose(
        self, job: Job, targets: Sequence[Target], data_centre: str, now: float
    ) -> Target | None:
        """Return a target that is expected to send its first token early.

        A target in ``data_centre`` is preferred to an equal one elsewhere.
        """
        beginnings = _list_beginnings(job.request)
        connected = [each for each in targets if self._is_connected(job, each)]
        drawn = draw_candidates(self._generator, targets, connected)
        places = {
            target.instance: self._make_place(job, target, beginnings)._replace(
                is_local=target.data_centre == data_centre,
                is_connected=target in connected,
            )
            for target in drawn
        }
        chosen = self._estimator.choose(
            places.values(), find_size(job.request), now
        )
        return chosen and next(
            target for target in targets if target.instance == chosen.instance
        )

    @contextlib.contextmanager
    def track(self, job: Job, target: Target) -> Iterator[None]:
        """Count a request at a target while the target has it."""
        loop = asyncio.get_running_loop()
        usage = self.earliest_selector.find_usage(target.instance)
        usage.own += 1
        size = find_size(job.request)
        if self.can_estimate(job):
            place = self._make_place(job, target, _list_beginnings(job.request))
            estimate = self._estimator.estimate(place, size, loop.time())
            job.timeline.record_estimate(estimate.seconds, place.kept_tokens)
        self._estimator.begin(target.service, target.instance, size)
        try:
            yield
        finally:
            usage.own -= 1
            self._estimator.end(target.instance, size)
        self._record_service(job, target, loop.time())

    def record_report(
        self, target: Target, load: ReportedLoad, now: float
    ) -> None:
        """Record the load that a target reports."""
        total = load.running + load.waiting
        self.earliest_selector.record_report(
            target.instance, total, load.slowdown, now
        )
        self._estimator.record_report(
            target.service, target.instance, total, now
        )
        if load.slowdown is not None:
            self._estimated_services.add(target.service)
            self._share(target.instance, total)

    def record_shared(self, instance: str, requests: int, age_s: float) -> None:
        """Record a load that a target reported to another host."""
        reported_at = asyncio.get_running_loop().time() - age_s
        self._estimator.record_shared(instance, requests, reported_at)

    def record_first_token(self, job: Job, target: Target, now: float) -> None:
        """Record that a target has read a request's prompt."""
        if not self.can_estimate(job):
            return
        self._remember_prompt(job, target, now)
        seconds = now - job.newest.sent_at
        self._count(job, seconds)
        head = job.newest.received_head
        load = head.facts.load if head else None
        # After a wait in the target's queue, the time isn't that of reading.
        if load is None or load.waiting or load.running > load.slots:
            return
        self._estimator.speeds(target.service).record_reading(
            max(0, job.request.prompt_tokens - job.timeline.kept_tokens),
            seconds / self._find_slowdown(target.instance, now),
        )

    def retain(self, targets: Iterable[Target]) -> None:
        """Forget targets that aren't named, and their earlier incarnations."""
        named = tuple(targets)
        instances = frozenset(target.instance for target in named)
        self.earliest_selector.retain(instances)
        self._estimator.retain(instances)
        self._kept.retain(target.identity for target in named)
        self._estimated_services &= {target.service for target in named}

    def _record_service(self, job: Job, target: Target, now: float) -> None:
        """Record how long a request had a place at a target."""
        began_at = job.newest.began_at
        if began_at is None or not self.can_estimate(job):
            return
        self._estimator.speeds(target.service).record_service(
            (now - began_at) / self._find_slowdown(target.instance, now)
        )

    def _count(self, job: Job, seconds: float) -> None:
        # The service may have become an estimated one since it was sent.
        expected_s = job.timeline.expected_s
        if expected_s is not None:
            self._metrics.count_first_token(
                seconds - expected_s,
                job.request.prompt_tokens,
                job.timeline.kept_tokens,
            )

    def _remember_prompt(self, job: Job, target: Target, now: float) -> None:
        beginnings = _list_beginnings(job.request)
        free = self._estimator.estimate_free_tokens(
            self._make_place(job, target, ()), now
        )
        self._kept.record(target.identity, beginnings, int(free))

    def _is_connected(self, job: Job, target: Target) -> bool:
        max_idle_s = None if job.route.may_repeat else self._fresh_idle_s
        return self._pool.has_idle(target.address, max_idle_s)

    def _make_place(
        self, job: Job, target: Target, beginnings: Beginnings
    ) -> Place:
        engine = job.service.engine
        return Place(
            target.instance,
            target.service,
            target.slots,
            engine.kv_token_capacity if engine else 0,
            self._kept.find(target.identity, beginnings),
        )

    def _find_slowdown(self, instance: str, now: float) -> float:
        return self.earliest_selector.slowdowns.estimate(instance, now).mean


def find_size(request: CallerRequest) -> RequestSize:
    """Return the tokens that a request is expected to need."""
    output_tokens = request.output_tokens
    if request.length_hint is not None:
        output_tokens = min(output_tokens, request.length_hint)
    return RequestSize(request.prompt_tokens, output_tokens)


def _list_beginnings(request: CallerRequest) -> Beginnings:
    variant = request.variant or ModelVariant('')
    return list_beginnings(
        (variant.model, variant.adapter),
        request.prefix_parts,
        request.part_tokens,
    )
