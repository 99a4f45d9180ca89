"""Place models by the declarations alone."""

from cassiarail.placement.backends.base import (
    PlacementInput,
    PlacementPolicy,
    Plan,
)
from cassiarail.placement.backends.base_replicas import place_base_replicas
from cassiarail.placement.layout import Layout
from cassiarail.placement.moves import list_moves


class StaticPolicy(PlacementPolicy):
    """Keep the base replicas and ignore demand.

    It is the baseline that shows the effect of following demand.
    """

    name = 'static'

    def plan(self, placement_input: PlacementInput) -> Plan:
        """Return the base replicas of every model."""
        layout = Layout(placement_input)
        unplaced = place_base_replicas(layout)
        holdings = layout.holdings()
        return Plan(holdings, list_moves(placement_input, holdings), unplaced)
