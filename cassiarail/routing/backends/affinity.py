"""Choose targets by load, with affinity to prefixes and adapters as a hint."""

import random
from collections.abc import Sequence

import xxhash

from cassiarail.routing.backends.base import (
    LoadView,
    RequestNeed,
    RoutingPolicy,
)
from cassiarail.routing.snapshot import TargetState

# The defaults of the bound and of the number of homes were compared with
# others by ``python -m cassiarail.load.experiments routing``.
IMBALANCE_REQUESTS = 4.0
HOMES = 2
_CHOICES = 2


class AffinityPolicy(RoutingPolicy):
    """Combine the power of two choices with bounded affinity.

    The homes of a prefix and adapter are the first targets in the order of
    rendezvous hashing. A home is chosen if its load exceeds that of the
    lesser loaded of two random targets by at most the imbalance bound.
    """

    name = 'affinity'

    def __init__(
        self,
        generator: random.Random,
        *,
        imbalance_requests: float = IMBALANCE_REQUESTS,
        preferred_targets: int = HOMES,
    ) -> None:
        self._generator = generator
        self._imbalance = imbalance_requests
        self._homes = preferred_targets

    def list_preferred(
        self,
        need: RequestNeed,
        candidates: Sequence[TargetState],
    ) -> list[str]:
        """Return the homes of the request's prefix and adapter."""
        if not need.prefix and not need.adapter:
            return []
        preferred_targets = rank_homes(need, candidates)[: self._homes]
        return [home.name for home in preferred_targets]

    def choose(
        self,
        need: RequestNeed,
        candidates: Sequence[TargetState],
        loads: LoadView,
    ) -> TargetState:
        """Return a home within the imbalance bound, else the lesser loaded."""
        lesser = self._choose_lesser(candidates, loads)
        bound = loads.estimate_load(lesser.name) + self._imbalance
        states = {state.name: state for state in candidates}
        for home in self.list_preferred(need, candidates):
            if loads.estimate_load(home) <= bound:
                return states[home]
        return lesser

    def _choose_lesser(
        self,
        candidates: Sequence[TargetState],
        loads: LoadView,
    ) -> TargetState:
        if len(candidates) <= _CHOICES:
            pair = list(candidates)
        else:
            pair = self._generator.sample(candidates, _CHOICES)
        return min(
            pair,
            key=lambda state: (
                loads.estimate_load(state.name),
                self._generator.random(),
            ),
        )


def rank_homes(
    need: RequestNeed,
    candidates: Sequence[TargetState],
) -> list[TargetState]:
    """Return the candidates in the order of rendezvous hashing."""
    key = f'{need.model}\0{need.adapter}\0{need.prefix}'
    return sorted(
        candidates,
        key=lambda state: xxhash.xxh3_64_intdigest(
            f'{key}\0{state.name}'.encode(),
        ),
        reverse=True,
    )
