"""Choose targets at random."""

import random
from collections.abc import Sequence

from cassiarail.routing.backends.base import (
    LoadView,
    RequestNeed,
    RoutingPolicy,
)
from cassiarail.routing.snapshot import TargetState


class RandomPolicy(RoutingPolicy):
    """Choose each target with the same probability."""

    name = 'random'

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator

    def choose(
        self,
        need: RequestNeed,
        candidates: Sequence[TargetState],
        loads: LoadView,
    ) -> TargetState:
        """Return a random candidate."""
        return self._generator.choice(candidates)
