"""Choose targets in turn."""

import collections
from collections.abc import Sequence

from cassiarail.routing.backends.base import (
    LoadView,
    RequestNeed,
    RoutingPolicy,
)
from cassiarail.routing.snapshot import TargetState


class RoundRobinPolicy(RoutingPolicy):
    """Cycle through the targets of each service and model."""

    name = 'round_robin'

    def __init__(self) -> None:
        self._next_indexes: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    def choose(
        self,
        need: RequestNeed,
        candidates: Sequence[TargetState],
        loads: LoadView,
    ) -> TargetState:
        """Return the candidate whose turn it is."""
        pool = (need.service, need.model)
        index = self._next_indexes[pool]
        self._next_indexes[pool] += 1
        return candidates[index % len(candidates)]
