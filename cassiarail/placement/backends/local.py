"""Plan the targets of one data centre."""

import collections
from collections.abc import Callable

from cassiarail.declarations.schema import DeclarationsDocument
from cassiarail.placement.backends.base import (
    ModelNeed,
    Move,
    PlacementInput,
    PlacementPolicy,
    Plan,
)
from cassiarail.placement.homes import assign_homes
from cassiarail.placement.needs import list_capacities, localise_need

DeclarationsSource = Callable[[], DeclarationsDocument | None]


class LocalPolicy(PlacementPolicy):
    """Apply another policy to the models whose home is this data centre.

    Homes are derived from the declared targets, not from those that are
    reachable now, so that a partition doesn't change them.
    """

    def __init__(
        self,
        inner: PlacementPolicy,
        data_centre: str,
        declarations: DeclarationsSource,
    ) -> None:
        self.name = inner.name
        self._inner = inner
        self._data_centre = data_centre
        self._declarations = declarations

    def plan(self, placement_input: PlacementInput) -> Plan:
        """Return a plan for the targets of this data centre only."""
        declarations = self._declarations()
        declared_targets = list_capacities(declarations) if declarations else ()
        homes = assign_homes(placement_input.models, declared_targets)
        targets = tuple(
            target
            for target in placement_input.targets
            if target.data_centre == self._data_centre
        )
        held = {key.model for target in targets for key in target.held}
        localised = [
            localise_need(need, homes, self._data_centre)
            for need in placement_input.models
        ]
        models = tuple(need for need in localised if _is_local(need, held))
        plan = self._inner.plan(
            placement_input._replace(models=models, targets=targets),
        )
        return plan._replace(
            moves=_order_by_exposure(plan.moves, placement_input)
        )


def _order_by_exposure(
    moves: tuple[Move, ...],
    placement_input: PlacementInput,
) -> tuple[Move, ...]:
    """Sort moves by the model's replicas in the fleet, fewest first.

    The weight store allows about two loads per second, so the order decides
    how long a model stays unreachable after targets crash.
    """
    replicas = collections.Counter(
        key.model
        for target in placement_input.targets
        if not target.leaving
        for key in target.held
        if not key.adapter
    )
    return tuple(sorted(moves, key=lambda move: replicas[move.key.model]))


def _is_local(need: ModelNeed, held: set[str]) -> bool:
    return need.replicas_min > 0 or need.key.model in held
