"""Choose the target of an attempt."""

import asyncio
from typing import NamedTuple

from cassiarail.edge.jobs import Job
from cassiarail.edge.targets import ModelVariant, Target, TargetDirectory
from cassiarail.routing.earliest import Candidate, EarliestStartSelector
from cassiarail.routing.outliers import OutlierDetector
from cassiarail.routing.reachability import ReachabilityTracker

# A target's word that it doesn't hold something is believed for this long,
# unless it accepts another order before.
_ABSENT_S = 1.0


_AbsenceKey = tuple[tuple[str, int], ModelVariant]


class _Absence(NamedTuple):
    """Hold when a target said that it lacks something."""

    order_count: int
    until: float


class TargetSelector:
    """Find the targets that can run a request and choose between them."""

    def __init__(
        self,
        directory: TargetDirectory,
        choice: EarliestStartSelector,
        outliers: OutlierDetector,
        reach: ReachabilityTracker,
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
            for target in self.list_usable(job.service.name, job.request.want)
            if target.identity not in tried
            and self._reach.may_send(target.identity)
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
            and not self._reach.is_unreachable(target.identity)
            for target in self.list_usable(job.service.name, job.request.want)
        )

    def are_lost(self, job: Job) -> bool:
        """Tell whether targets hold what is needed, but none is in reach."""
        usable = self.list_usable(job.service.name, job.request.want)
        return bool(usable) and not any(
            self._reach.may_send(target.identity) for target in usable
        )

    def list_usable(
        self, service: str, want: ModelVariant | None
    ) -> list[Target]:
        """Return the targets that hold what a request needs."""
        return [
            target
            for target in self._directory.of_service(service)
            if target.holdings.serves(want)
            and not self._is_absent(target, want)
        ]

    def least_occupancy(
        self, service: str, want: ModelVariant | None
    ) -> float | None:
        """Return the lowest use of a target, as a share of its slots."""
        now = asyncio.get_running_loop().time()
        shares = [
            self._choice.occupancy(self._describe(target), now)
            for target in self.list_usable(service, want)
        ]
        return min(shares) if shares else None

    def note_absent(self, target: Target, want: ModelVariant | None) -> None:
        """Believe a target that it doesn't hold what was asked for."""
        if want is not None:
            self._absent[(target.identity, want)] = _Absence(
                target.holdings.order_count,
                asyncio.get_running_loop().time() + _ABSENT_S,
            )

    def _is_absent(self, target: Target, want: ModelVariant | None) -> bool:
        if want is None or not self._absent:
            return False
        key = (target.identity, want)
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
