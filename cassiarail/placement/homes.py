"""Assign each model to its home data centres.

The assignment is a function of the declarations alone. Every data centre
computes the same one without contacting the others, even while partitioned
from them, and it changes only when the declarations do.
"""

import collections
import heapq
import math
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from cassiarail.placement.backends.base import ModelNeed, TargetCapacity

_BaseAssignments = dict[str, tuple[str, ...]]


class Homes(NamedTuple):
    """Hold the home data centres of each model, and why some have fewer.

    ``base_assignments`` names, by model and home, targets on which the base
    replicas of all models fit together; a plan that uses them needs no search.

    ``unplaced`` maps the names of models that fit nowhere to the reason.
    ``reduced`` maps the names of models with fewer homes than declared to the
    reason.
    """

    by_model: Mapping[str, tuple[str, ...]]
    base_assignments: Mapping[str, _BaseAssignments]
    unplaced: Mapping[str, str]
    reduced: Mapping[str, str]


def size_bundle(need: ModelNeed) -> int:
    """Return the bytes of a replica: weights, KV reserve and adapters."""
    return need.bytes + need.kv_reserve_bytes + sum(need.adapters.values())


def count_base_replicas(need: ModelNeed, homes: Sequence[str]) -> int:
    """Return the replicas that each home keeps regardless of demand."""
    if not homes:
        return 0
    return max(1, math.ceil(need.replicas_min / len(homes)))


class _DataCentreMemory:
    """Track the free memory of one service's targets in a data centre."""

    def __init__(self) -> None:
        self.free: dict[str, int] = {}
        self.total = 0
        self._heap: list[tuple[int, str]] = []

    def add_target(self, name: str, memory_bytes: int) -> None:
        """Add an empty target."""
        self.free[name] = memory_bytes
        self.total += memory_bytes
        heapq.heappush(self._heap, (-memory_bytes, name))

    def place(self, need: ModelNeed, count: int) -> tuple[str, ...]:
        """Reserve memory for ``count`` replicas and return their targets.

        Return an empty tuple and reserve nothing if they don't fit.
        """
        size = size_bundle(need)
        chosen = self._find_free(need, size, count)
        if len(chosen) < count:
            return ()
        for name in chosen:
            self.free[name] -= size
            self.total -= size
            heapq.heappush(self._heap, (-self.free[name], name))
        return tuple(chosen)

    def _find_free(self, need: ModelNeed, size: int, count: int) -> list[str]:
        """Return the allowed targets with the most free memory.

        Targets leave the heap in order of their free memory, so the search
        ends at the first that is too small.
        """
        chosen: list[str] = []
        popped = []
        while self._heap and len(chosen) < count:
            entry = heapq.heappop(self._heap)
            if -entry[0] != self.free[entry[1]]:
                continue
            popped.append(entry)
            if -entry[0] < size:
                break
            if _is_allowed(need, entry[1]):
                chosen.append(entry[1])
        for entry in popped:
            heapq.heappush(self._heap, entry)
        return chosen


def assign_homes(
    needs: Iterable[ModelNeed],
    targets: Iterable[TargetCapacity],
) -> Homes:
    """Return the homes of all models, the largest models first.

    Every model gets its first home before any gets a second one, so that
    reachability takes precedence over tolerating the loss of a data centre.
    """
    memory_by_service: dict[str, dict[str, _DataCentreMemory]] = (
        collections.defaultdict(dict)
    )
    for target in targets:
        memory = memory_by_service[target.service].setdefault(
            target.data_centre,
            _DataCentreMemory(),
        )
        memory.add_target(target.name, target.memory_bytes)
    ordered = sorted(
        needs,
        key=lambda need: (-size_bundle(need), need.key.model),
    )
    chosen: dict[str, _BaseAssignments] = {
        need.key.model: {} for need in ordered
    }
    rounds = max((need.data_centres for need in ordered), default=0)
    for round_number in range(rounds):
        for need in ordered:
            if round_number < need.data_centres:
                _add_home(
                    need,
                    memory_by_service[need.service],
                    chosen[need.key.model],
                )
    return _build_homes(ordered, chosen)


def _add_home(
    need: ModelNeed,
    memory_by_data_centre: Mapping[str, _DataCentreMemory],
    chosen: _BaseAssignments,
) -> None:
    candidates = sorted(
        (name for name in memory_by_data_centre if name not in chosen),
        key=lambda name: (
            not _is_pinned_to(need, memory_by_data_centre[name]),
            -memory_by_data_centre[name].total,
            name,
        ),
    )
    for name in candidates:
        count = math.ceil(need.replicas_min / need.data_centres)
        base_assignments = memory_by_data_centre[name].place(
            need, max(1, count)
        )
        if base_assignments:
            chosen[name] = base_assignments
            return


def _build_homes(
    needs: Sequence[ModelNeed],
    chosen: Mapping[str, _BaseAssignments],
) -> Homes:
    unplaced = {}
    reduced = {}
    for need in needs:
        name = need.key.model
        size = size_bundle(need)
        if not chosen[name]:
            unplaced[name] = f'no target has {size} bytes left'
        elif len(chosen[name]) < need.data_centres:
            reduced[name] = (
                f'{len(chosen[name])} of {need.data_centres} data centres:'
                f' no other target has {size} bytes left'
            )
    homes = {name: tuple(sorted(assigned)) for name, assigned in chosen.items()}
    return Homes(homes, chosen, unplaced, reduced)


def _is_allowed(need: ModelNeed, target: str) -> bool:
    if target in need.forbidden_targets:
        return False
    return not need.pinned_targets or target in need.pinned_targets


def _is_pinned_to(need: ModelNeed, memory: _DataCentreMemory) -> bool:
    return any(name in memory.free for name in need.pinned_targets)
