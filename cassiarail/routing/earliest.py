"""Send a request to the target that is expected to begin it first.

Answers uneven load: engines share one batch between all that they hold, so
each further request slows the others. A report lags, so requests that this
host sent since are added, and those of other hosts are taken from the report.
"""

import random
from collections.abc import Iterable, Sequence
from typing import NamedTuple

# What other hosts have at a target is forgotten at this age of its report.
_REPORT_LIFE_S = 2.0
# Weight of a new report against the older ones; single ones are bursty.
_REPORT_WEIGHT = 0.5
# Added to targets elsewhere: bytes between data centres are priced, and a
# tie should stay local. A share of the slots.
_REMOTE_PENALTY = 0.02
_NOISE = 0.01


class Candidate(NamedTuple):
    """Describe a target that can run a request."""

    instance: str
    slots: int
    is_local: bool


class TargetUse:
    """Count own requests at a target and estimate those of others."""

    def __init__(self) -> None:
        self.own = 0
        self._others = float(0)
        self._heard_at = float('-inf')

    def record_report(self, total: int, now: float) -> None:
        """Take a target's count of requests, own ones included."""
        others = max(0, total - self.own)
        if now - self._heard_at > _REPORT_LIFE_S:
            self._others = others
        else:
            self._others += _REPORT_WEIGHT * (others - self._others)
        self._heard_at = now

    def estimate(self, now: float) -> float:
        """Return the expected requests at the target."""
        age = now - self._heard_at
        freshness = max(0, 1 - age / _REPORT_LIFE_S)
        return self.own + self._others * freshness


class EarliestStartSelector:
    """Keep the use of all targets and choose between them."""

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator
        self._uses: dict[str, TargetUse] = {}

    def find_usage(self, instance: str) -> TargetUse:
        """Return the use of a target."""
        return self._uses.setdefault(instance, TargetUse())

    def retain(self, instances: Iterable[str]) -> None:
        """Forget all targets but the named ones and those in use."""
        kept = set(instances)
        for instance in list(self._uses):
            if instance not in kept and not self._uses[instance].own:
                self._uses.pop(instance)

    def occupancy(self, candidate: Candidate, now: float) -> float:
        """Return the expected requests at a target as a share of its slots."""
        use = self._uses.get(candidate.instance)
        requests = use.estimate(now) if use else 0
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
            key=lambda candidate: self._cost(candidate, now),
        )

    def _cost(self, candidate: Candidate, now: float) -> float:
        penalty = 0 if candidate.is_local else _REMOTE_PENALTY
        noise = self._generator.random() * _NOISE
        return self.occupancy(candidate, now) + penalty + noise
