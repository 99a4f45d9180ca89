"""Choose targets by load, with affinity for prefixes and adapters."""

import random
from collections.abc import Sequence

import xxhash

from cassiarail.routing.backends.base import (
    LoadView,
    RequestNeed,
    RoutingPolicy,
)
from cassiarail.routing.snapshot import TargetState

# Compare other values with ``python -m cassiarail.load.experiments routing``.
IMBALANCE_REQUESTS = 4.0
PREFERRED_COUNT = 2
_CHOICES = 2


class AffinityPolicy(RoutingPolicy):
    """Combine the power of two choices with bounded affinity.

    The preferred targets of a prefix and adapter are the first ones in the
    order of rendezvous hashing. One is chosen if its load exceeds that of the
    less loaded of two random targets by at most the imbalance bound.
    """

    name = 'affinity'

    def __init__(
        self,
        generator: random.Random,
        *,
        imbalance_requests: float = IMBALANCE_REQUESTS,
        preferred_count: int = PREFERRED_COUNT,
    ) -> None:
        self._generator = generator
        self._imbalance = imbalance_requests
        self._preferred_count = preferred_count

    def list_preferred(
        self,
        need: RequestNeed,
        candidates: Sequence[TargetState],
    ) -> list[str]:
        """Return the preferred targets of the prefix and adapter."""
        if not need.prefix and not need.adapter:
            return []
        preferred = rank_by_hash(need, candidates)[: self._preferred_count]
        return [state.name for state in preferred]

    def choose(
        self,
        need: RequestNeed,
        candidates: Sequence[TargetState],
        loads: LoadView,
    ) -> TargetState:
        """Return a preferred target within the bound, or the less loaded."""
        less_loaded = self._choose_less_loaded(candidates, loads)
        bound = loads.estimate_load(less_loaded.name) + self._imbalance
        states = {state.name: state for state in candidates}
        for name in self.list_preferred(need, candidates):
            if loads.estimate_load(name) <= bound:
                return states[name]
        return less_loaded

    def _choose_less_loaded(
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


def rank_by_hash(
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
