"""Plan from demand alone, regardless of the number of moves."""

import heapq

from cassiarail.placement.backends.base import (
    ModelNeed,
    PlacementInput,
    PlacementPolicy,
    Plan,
)
from cassiarail.placement.backends.base_replicas import place_base_replicas
from cassiarail.placement.layout import Layout
from cassiarail.placement.moves import list_moves


class GreedyPolicy(PlacementPolicy):
    """Plan from scratch: assign the busiest model to the least loaded target.

    It is the baseline that shows the effect of pricing moves.
    """

    name = 'greedy'

    def plan(self, placement_input: PlacementInput) -> Plan:
        """Return a plan that ignores current holdings."""
        empty = placement_input._replace(
            targets=tuple(
                target._replace(held=frozenset())
                for target in placement_input.targets
            ),
        )
        layout = Layout(empty)
        unplaced = place_base_replicas(layout)
        _fill(layout)
        holdings = layout.holdings()
        return Plan(holdings, list_moves(placement_input, holdings), unplaced)


def _fill(layout: Layout) -> None:
    heap = [
        (-layout.share(name), name)
        for name, names in layout.replicas.items()
        if names
    ]
    heapq.heapify(heap)
    while heap:
        _, model = heapq.heappop(heap)
        if _add_replica(layout, layout.needs[model]):
            heapq.heappush(heap, (-layout.share(model), model))


def _add_replica(layout: Layout, need: ModelNeed) -> bool:
    if len(layout.replicas[need.key.model]) >= need.replicas_max:
        return False
    target = layout.find_target(need)
    if target is None:
        return False
    layout.add(need.key.model, target)
    return True
