"""Follow demand where the gain exceeds the price of the moves.

The plan starts from current holdings and relieves overloaded targets one
replica at a time. A replica is added only if it removes more load from
overloaded targets, in concurrent requests, than the price of its moves plus the
uncertainty of the forecast, so that mere fluctuation of demand causes no move.
The uncertainty is the standard deviation per replica. Surplus replicas stay
until their memory is needed, since unloading them early gains nothing.
"""

import heapq
import itertools
import math
from typing import NamedTuple

from cassiarail.placement.backends.base import (
    ModelNeed,
    PlacementInput,
    PlacementPolicy,
    Plan,
)
from cassiarail.placement.backends.base_replicas import (
    choose_removals,
    place_base_replicas,
)
from cassiarail.placement.layout import Layout
from cassiarail.placement.moves import list_moves

# Above this share of its capacity a target's queue grows quickly.
_UTILISATION_LIMIT = 0.8
# Standard deviations of the forecast that a change must exceed.
_CONFIDENCE = 1.0
_CANDIDATES_PER_TARGET = 4
_STEPS_PER_MODEL = 4


class _Change(NamedTuple):
    model: str
    target: str
    removed: tuple[str, ...]
    gain: float


class PricedPolicy(PlacementPolicy):
    """Add replicas where the relief exceeds a declared price per move."""

    name = 'priced'

    def plan(self, placement_input: PlacementInput) -> Plan:
        """Return a plan that changes holdings only where a move pays off."""
        layout = Layout(placement_input)
        unplaced = place_base_replicas(layout)
        _OverloadReducer(layout, placement_input.move_price).run()
        holdings = layout.holdings()
        return Plan(holdings, list_moves(placement_input, holdings), unplaced)


class _OverloadReducer:
    """Relieve the most overloaded targets while it pays off."""

    def __init__(self, layout: Layout, move_price: float) -> None:
        self._layout = layout
        self._move_price = move_price
        self._steps = _STEPS_PER_MODEL * len(layout.needs)

    def run(self) -> None:
        """Apply changes, the most overloaded target first."""
        heap = [(-self._overload(name), name) for name in self._layout.targets]
        heapq.heapify(heap)
        while heap and self._steps > 0:
            overload, name = heapq.heappop(heap)
            if overload >= 0:
                return
            current = -self._overload(name)
            if current > overload:
                heapq.heappush(heap, (current, name))
                continue
            self._steps -= 1
            change = self._find_change(name)
            if change is not None:
                self._apply(change)
                heapq.heappush(heap, (-self._overload(name), name))

    def _overload(self, target: str, extra: float = 0) -> float:
        target_capacity = self._layout.targets[target]
        load = self._layout.load[target] + extra
        return max(0, load - target_capacity.capacity * _UTILISATION_LIMIT)

    def _find_change(self, target: str) -> _Change | None:
        models = heapq.nlargest(
            _CANDIDATES_PER_TARGET,
            self._layout.models[target],
            key=lambda model: (self._layout.share(model), model),
        )
        changes = [self._evaluate(self._layout.needs[each]) for each in models]
        profitable = [change for change in changes if change is not None]
        return max(profitable, key=lambda change: change.gain, default=None)

    def _evaluate(self, need: ModelNeed) -> _Change | None:
        layout = self._layout
        if len(layout.replicas[need.key.model]) >= need.replicas_max:
            return None
        best: _Change | None = None
        candidates = itertools.islice(
            layout.scan_targets(need), _CANDIDATES_PER_TARGET
        )
        for target in candidates:
            removed = choose_removals(layout, need, target)
            if removed is None:
                continue
            change = self._price(need, target, tuple(removed))
            if best is None or change.gain > best.gain:
                best = change
        return best if best is not None and best.gain > 0 else None

    def _price(
        self,
        need: ModelNeed,
        target: str,
        removed: tuple[str, ...],
    ) -> _Change:
        layout = self._layout
        model = need.key.model
        freed = layout.share(model) - layout.share(model, 1)
        relief = sum(
            self._overload(name) - self._overload(name, -freed)
            for name in layout.replicas[model]
        )
        added = layout.share(model, 1)
        cost = self._overload(target, added) - self._overload(target)
        for other in removed:
            extra = layout.share(other, -1) - layout.share(other)
            cost += sum(
                self._overload(name, extra) - self._overload(name)
                for name in layout.replicas[other]
                if name != target
            )
        uncertainty = (
            _CONFIDENCE
            * math.sqrt(need.variance)
            / (len(layout.replicas[model]) + 1)
        )
        moves = 1 + len(removed)
        gain = relief - cost - uncertainty - self._move_price * moves
        return _Change(model, target, removed, gain)

    def _apply(self, change: _Change) -> None:
        for model in change.removed:
            self._layout.remove(model, change.target)
        self._layout.add(change.model, change.target)
