"""Choose the target of an attempt."""

import asyncio
from typing import NamedTuple

from cassiarail.edge.registry.targets import (
    ModelVariant,
    Target,
    TargetDirectory,
)
from cassiarail.edge.requests.jobs import Job
from cassiarail.edge.requests.target_loads import TargetLoads
from cassiarail.routing.earliest import Candidate
from cassiarail.routing.holds import TargetHolds
from cassiarail.routing.outliers import OutlierDetector
from cassiarail.routing.reachability import ReachabilityTracker

# How long a variant counts as missing after a target refused a request for it,
# unless the target accepts another order before.
_MISSING_TTL_S = 1.0

_MissingKey = tuple[tuple[str, int], ModelVariant]


class _MissingVariant(NamedTuple):
    """Hold the state in which a target refused a request for a variant."""

    order_count: int
    expires_at: float


class TargetSelector:
    """Find the targets that can run a request and choose between them."""

    def __init__(
        self,
        directory: TargetDirectory,
        loads: TargetLoads,
        outliers: OutlierDetector,
        reachability: ReachabilityTracker,
        data_centre: str,
        holds: TargetHolds,
    ) -> None:
        self._holds = holds
        self._directory = directory
        self._loads = loads
        self._earliest_selector = loads.earliest_selector
        self._outliers = outliers
        self._reachability = reachability
        self._data_centre = data_centre
        self._missing: dict[_MissingKey, _MissingVariant] = {}

    def choose(self, job: Job) -> Target | None:
        """Return the best target that was not tried yet, or ``None``."""
        tried_targets = {target.identity for target in job.tried_targets}
        usable = [
            target
            for target in self.list_usable(
                job.service.name, job.request.variant
            )
            if target.identity not in tried_targets
            and not self._holds.is_held(target.identity)
            and self._reachability.may_send(target.identity)
        ]
        healthy = [
            target
            for target in usable
            if not self._outliers.is_ejected(target.instance)
        ]
        target = self._choose_earliest(job, healthy or usable)
        if target is not None:
            self._reachability.begin_probe(target.identity)
        return target

    def has_alternative(self, job: Job) -> bool:
        """Return whether an untried reachable target can run a request."""
        tried_targets = {target.identity for target in job.tried_targets}
        return any(
            target.identity not in tried_targets
            and not self._holds.is_held(target.identity)
            and not self._reachability.is_unreachable(target.identity)
            for target in self.list_usable(
                job.service.name, job.request.variant
            )
        )

    def all_unreachable(self, job: Job) -> bool:
        """Return whether targets hold the variant but none is reachable."""
        usable = self.list_usable(job.service.name, job.request.variant)
        return bool(usable) and not any(
            self._reachability.may_send(target.identity) for target in usable
        )

    def pause_s(self, job: Job) -> float | None:
        """Return the shortest pause if all targets want one.

        Targets that may not be sent a request now, not even as a probe, don't
        count.
        """
        pauses = [
            self._holds.remaining_s(target.identity)
            for target in self.list_usable(
                job.service.name, job.request.variant
            )
            if self._reachability.may_send(target.identity)
        ]
        return min(pauses, default=0) or None

    def list_usable(
        self, service: str, variant: ModelVariant | None
    ) -> list[Target]:
        """Return the targets of a service that hold a model variant."""
        return [
            target
            for target in self._directory.of_service(service)
            if target.holdings.serves(variant)
            and not self._is_missing(target, variant)
        ]

    def min_occupancy(
        self, service: str, variant: ModelVariant | None
    ) -> float | None:
        """Return the lowest occupancy of the targets, as a share of slots."""
        now = asyncio.get_running_loop().time()
        shares = [
            self._earliest_selector.occupancy(self._make_candidate(target), now)
            for target in self.list_usable(service, variant)
        ]
        return min(shares) if shares else None

    def record_missing(
        self, target: Target, variant: ModelVariant | None
    ) -> None:
        """Record that a target refused a request for a variant it lacks."""
        if variant is not None:
            self._missing[(target.identity, variant)] = _MissingVariant(
                target.holdings.order_count,
                asyncio.get_running_loop().time() + _MISSING_TTL_S,
            )

    def _choose_earliest(
        self, job: Job, targets: list[Target]
    ) -> Target | None:
        """Return the target that is expected to start a request first."""
        now = asyncio.get_running_loop().time()
        if self._loads.can_estimate(job):
            return self._loads.choose(job, targets, self._data_centre, now)
        by_instance = {target.instance: target for target in targets}
        chosen = self._earliest_selector.choose(
            [self._make_candidate(target) for target in by_instance.values()],
            now,
        )
        return by_instance[chosen.instance] if chosen else None

    def _is_missing(self, target: Target, variant: ModelVariant | None) -> bool:
        if variant is None or not self._missing:
            return False
        key = (target.identity, variant)
        missing = self._missing.get(key)
        if missing is None:
            return False
        now = asyncio.get_running_loop().time()
        has_changed = target.holdings.order_count > missing.order_count
        if has_changed or now >= missing.expires_at:
            self._missing.pop(key)
            return False
        return True

    def _make_candidate(self, target: Target) -> Candidate:
        return Candidate(
            target.instance,
            target.slots,
            target.data_centre == self._data_centre,
        )
