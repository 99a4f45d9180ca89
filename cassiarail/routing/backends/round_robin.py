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
    """Choose the targets of each service and model in turn."""

    name = 'round_robin'

    def __init__(self) -> None:
        self._turns: collections.Counter[tuple[str, str]] = (
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
        turn = self._turns[pool]
        self._turns[pool] += 1
        return candidates[turn % len(candidates)]
