"""Select the target that is expected to start a request first.

Engines run all their requests in one batch, so each further request slows the
others and uneven load delays all. Reports lag: own requests are counted here,
and only the load from other hosts is estimated from the report. Where a target
reports how slow its machine is, the time that its requests take counts.
"""

import random
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from cassiarail.routing.slowdowns import SlowdownTracker
from cassiarail.routing.usage import TargetUsage

# Added to the cost of remote targets, as a share of the slots: traffic between
# data centres is priced, and a tie should stay local.
_REMOTE_PENALTY = 0.02
_NOISE = 0.01


class Candidate(NamedTuple):
    """Describe a target that can run a request."""

    instance: str
    slots: int
    is_local: bool


class EarliestStartSelector:
    """Track the usage of all targets and select the least loaded."""

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator
        self._usages: dict[str, TargetUsage] = {}
        self.slowdowns = SlowdownTracker()

    def find_usage(self, instance: str) -> TargetUsage:
        """Return the usage record of a target."""
        return self._usages.setdefault(instance, TargetUsage())

    def record_report(
        self,
        instance: str,
        total: int,
        slowdown: float | None,
        now: float,
    ) -> None:
        """Record a target's request count and, if it says so, its slowdown."""
        self.find_usage(instance).record_report(total, now)
        if slowdown is not None:
            self.slowdowns.record(instance, slowdown, now)

    def retain(self, instances: Iterable[str]) -> None:
        """Remove targets that are neither named nor in use."""
        retained = set(instances)
        for instance in list(self._usages):
            if instance not in retained and not self._usages[instance].own:
                self._usages.pop(instance)
        self.slowdowns.retain(retained)

    def occupancy(self, candidate: Candidate, now: float) -> float:
        """Return the expected requests at a target as a share of its slots."""
        usage = self._usages.get(candidate.instance)
        requests = usage.estimate(now) if usage else 0
        return requests / candidate.slots

    def choose(
        self,
        candidates: Sequence[Candidate],
        now: float,
    ) -> Candidate | None:
        """Return the target with the least expected load."""
        if not candidates:
            return None
        return min(
            candidates,
            key=lambda candidate: self._estimate_cost(candidate, now),
        )

    def _estimate_cost(self, candidate: Candidate, now: float) -> float:
        penalty = 0 if candidate.is_local else _REMOTE_PENALTY
        noise = self._generator.random() * _NOISE
        occupancy = self.occupancy(candidate, now)
        slowdown = self.slowdowns.estimate(candidate.instance, now).mean
        # The request itself, a share of 1 / slots, is slowed down as well.
        delay = (occupancy + 1 / candidate.slots) * (slowdown - 1)
        return occupancy + delay + penalty + noise
