"""Choose the target that reported the least load."""

import random
from collections.abc import Sequence

from cassiarail.routing.backends.base import (
    LoadView,
    RequestNeed,
    RoutingPolicy,
)
from cassiarail.routing.snapshot import TargetState


class LeastLoadedPolicy(RoutingPolicy):
    """Choose by the lagging reports, with ties broken at random."""

    name = 'least_loaded'

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator

    def choose(
        self,
        need: RequestNeed,
        candidates: Sequence[TargetState],
        loads: LoadView,
    ) -> TargetState:
        """Return the candidate with the least reported load."""
        return min(
            candidates,
            key=lambda state: (
                loads.reported_load(state.name),
                self._generator.random(),
            ),
        )
