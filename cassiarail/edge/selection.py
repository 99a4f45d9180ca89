"""Choose the target of an attempt."""

import asyncio
from typing import NamedTuple

from cassiarail.edge.jobs import Job
from cassiarail.edge.targets import Target, TargetDirectory, Want
from cassiarail.routing.earliest import Candidate, EarliestChoice
from cassiarail.routing.outliers import OutlierDetector
from cassiarail.routing.reach import ReachTracker

# A target's word that it doesn't hold something is believed for this long,
# unless it accepts another order before.
_ABSENT_S = 1.0


_AbsenceKey = tuple[tuple[str, int], Want]


class _Absence(NamedTuple):
    """Hold when a target said that it lacks something."""

    order_count: int
    until: float


class TargetSelector:
    """Find the targets that can run a request and choose between them."""

    def __init__(
        self,
        directory: TargetDirectory,
        choice: EarliestChoice,
        outliers: OutlierDetector,
        reach: ReachTracker,
        data_centre: str,
    ) -> None:
        self._directory = directory
        self._choice = choice
        self._outliers = outliers
        self._reach = reach
        self._data_centre = data_centre
        self._absent: dict[_AbsenceKey, _Absence] = {}

    def choose(self, job: Job) -> Target | None:
        """Return the best target that was not tried, or ``None``."""
        tried = {target.identity for target in job.tried}
        usable = [
            target
            for target in self.list_usable(
                job.service.name, job.request.variant
            )
            if target.identity not in tried
            and self._reach.may_try(target.identity)
        ]
        sound = [
            target
            for target in usable
            if not self._outliers.is_ejected(target.instance)
        ]
        named = {target.instance: target for target in sound or usable}
        chosen = self._choice.choose(
            [self._describe(target) for target in named.values()],
            asyncio.get_running_loop().time(),
        )
        if chosen is None:
            return None
        target = named[chosen.instance]
        self._reach.begin_probe(target.identity)
        return target

    def can_switch(self, job: Job) -> bool:
        """Tell whether another target could take a request over."""
        tried = {target.identity for target in job.tried}
        return any(
            target.identity not in tried
            and not self._reach.is_lost(target.identity)
            for target in self.list_usable(
                job.service.name, job.request.variant
            )
        )

    def are_lost(self, job: Job) -> bool:
        """Tell whether targets hold what is needed, but none is in reach."""
        usable = self.list_usable(job.service.name, job.request.variant)
        return bool(usable) and not any(
            self._reach.may_try(target.identity) for target in usable
        )

    def list_usable(self, service: str, variant: Want | None) -> list[Target]:
        """Return the targets that hold what a request needs."""
        return [
            target
            for target in self._directory.of_service(service)
            if target.holdings.serves(variant)
            and not self._is_absent(target, variant)
        ]

    def least_occupancy(
        self, service: str, variant: Want | None
    ) -> float | None:
        """Return the lowest use of a target, as a share of its slots."""
        now = asyncio.get_running_loop().time()
        shares = [
            self._choice.occupancy(self._describe(target), now)
            for target in self.list_usable(service, variant)
        ]
        return min(shares) if shares else None

    def note_absent(self, target: Target, variant: Want | None) -> None:
        """Believe a target that it doesn't hold what was asked for."""
        if variant is not None:
            self._absent[(target.identity, variant)] = _Absence(
                target.holdings.order_count,
                asyncio.get_running_loop().time() + _ABSENT_S,
            )

    def _is_absent(self, target: Target, variant: Want | None) -> bool:
        if variant is None or not self._absent:
            return False
        key = (target.identity, variant)
        absence = self._absent.get(key)
        if absence is None:
            return False
        now = asyncio.get_running_loop().time()
        has_changed = target.holdings.order_count > absence.order_count
        if has_changed or now >= absence.until:
            self._absent.pop(key)
            return False
        return True

    def _describe(self, target: Target) -> Candidate:
        return Candidate(
            target.instance,
            target.slots,
            target.data_centre == self._data_centre,
        )
