"""Plan the targets of one data centre within the whole fleet."""

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
    """Hand the models at home in a data centre to another policy.

    Homes follow from the declared targets, not from those that are reached at
    the moment, so that a partition doesn't move them.
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

    def plan(self, situation: PlacementInput) -> Plan:
        """Return a plan for the own targets only."""
        declarations = self._declarations()
        rooms = list_capacities(declarations) if declarations else ()
        homes = assign_homes(situation.models, rooms)
        targets = tuple(
            target
            for target in situation.targets
            if target.data_centre == self._data_centre
        )
        held = {key.model for target in targets for key in target.held}
        localised = [
            localise_need(need, homes, self._data_centre)
            for need in situation.models
        ]
        models = tuple(need for need in localised if _is_local(need, held))
        plan = self._inner.plan(
            situation._replace(models=models, targets=targets),
        )
        return plan._replace(moves=_order_by_exposure(plan.moves, situation))


def _order_by_exposure(
    moves: tuple[Move, ...],
    situation: PlacementInput,
) -> tuple[Move, ...]:
    """Put first the moves of models with the fewest replicas in the fleet.

    The weight store allows about two loads a second, so that the order
    decides how long a model stays unreachable after targets crashed.
    """
    replicas = collections.Counter(
        key.model
        for target in situation.targets
        if not target.leaving
        for key in target.held
        if not key.adapter
    )
    return tuple(sorted(moves, key=lambda move: replicas[move.key.model]))


def _is_local(need: ModelNeed, held: set[str]) -> bool:
    return need.replicas_min > 0 or need.key.model in held
