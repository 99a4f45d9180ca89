"""Track what every target would hold while a plan is being made."""

import heapq
from collections.abc import Iterable, Iterator

from cassiarail.placement.backends.base import (
    HoldingKey,
    ModelNeed,
    PlacementInput,
    TargetCapacity,
)
from cassiarail.placement.homes import size_bundle

# A bounded search keeps one placement step at O(log n): targets behind the
# first ones are at least as loaded, so a longer search gains little.
_SEARCH_TARGETS = 24
_HeapEntry = tuple[float, int, str]


class Layout:
    """Hold replicas, free memory and expected load of all targets.

    Load is the demand of each model spread evenly over its replicas, in
    concurrent requests.
    """

    def __init__(self, situation: PlacementInput) -> None:
        self.targets = {target.name: target for target in situation.targets}
        self.needs = {need.key.model: need for need in situation.models}
        self.free = {
            target.name: target.memory_bytes for target in situation.targets
        }
        self.load = {target.name: float(0) for target in situation.targets}
        self.replicas: dict[str, set[str]] = {
            name: set() for name in self.needs
        }
        self.outdated: dict[str, set[HoldingKey]] = {}
        self.models: dict[str, set[str]] = {
            name: set() for name in self.targets
        }
        self._heaps: dict[str, list[_HeapEntry]] = {}
        for target in situation.targets:
            self._take_over(target)
        for target in situation.targets:
            self._push(target.name)

    def add(self, model: str, target: str) -> None:
        """Place a replica and spread the model's demand anew."""
        need = self.needs[model]
        self._shift(model, -1)
        self.replicas[model].add(target)
        self.models[target].add(model)
        self.free[target] -= size_bundle(need)
        self._shift(model, 1)

    def remove(self, model: str, target: str) -> None:
        """Remove a replica and spread the model's demand anew."""
        self._shift(model, -1)
        self.replicas[model].discard(target)
        self.models[target].discard(model)
        self.free[target] += size_bundle(self.needs[model])
        self._shift(model, 1)
        self._push(target)

    def share(self, model: str, extra: int = 0) -> float:
        """Return the demand on each replica, with some more replicas."""
        count = len(self.replicas[model]) + extra
        return self.needs[model].demand / count if count else 0

    def can_hold(self, need: ModelNeed, target: str) -> bool:
        """Tell whether rules allow a new replica; memory is not considered."""
        room = self.targets[target]
        if room.leaving or room.service != need.service:
            return False
        if target in need.forbidden_targets:
            return False
        if need.pinned_targets and target not in need.pinned_targets:
            return False
        return target not in self.replicas[need.key.model]

    def find_room(self, need: ModelNeed) -> str | None:
        """Return the least loaded target that has room for a replica."""
        size = size_bundle(need)
        for target in self.scan(need):
            if self.free[target] >= size:
                return target
        return None

    def scan(self, need: ModelNeed) -> Iterator[str]:
        """Yield allowed targets from the least loaded on, a bounded number.

        Pinned models look at their own targets only.
        """
        if need.pinned_targets:
            names = sorted(need.pinned_targets.intersection(self.targets))
            yield from (each for each in names if self.can_hold(need, each))
            return
        heap = self._heaps.get(need.service, [])
        taken: list[_HeapEntry] = []
        found: list[str] = []
        while heap and len(found) < _SEARCH_TARGETS:
            entry = heapq.heappop(heap)
            name = entry[-1]
            if entry != self._rank(name):
                continue
            taken.append(entry)
            if self.can_hold(need, name):
                found.append(name)
        for entry in taken:
            heapq.heappush(heap, entry)
        yield from found

    def utilisation(self, target: str) -> float:
        """Return the load of a target as a share of its capacity."""
        return self.load[target] / self.targets[target].capacity

    def holdings(self) -> dict[str, frozenset[HoldingKey]]:
        """Return what each target should hold, adapters included."""
        wanted: dict[str, set[HoldingKey]] = {
            name: set() for name in self.targets
        }
        for model, names in self.replicas.items():
            need = self.needs[model]
            keys = [
                need.key,
                *(need.key._replace(adapter=each) for each in need.adapters),
            ]
            for name in names:
                wanted[name].update(keys)
        return {target: frozenset(held) for target, held in wanted.items()}

    def _take_over(self, target: TargetCapacity) -> None:
        for key in target.held:
            need = self.needs.get(key.model)
            if key.adapter or need is None:
                continue
            if key == need.key and not target.leaving:
                self.add(key.model, target.name)
            else:
                # An outdated version keeps its memory until its successor
                # answers elsewhere.
                self.free[target.name] -= size_bundle(need)
                self.outdated.setdefault(target.name, set()).add(key)

    def _shift(self, model: str, sign: int) -> None:
        share = sign * self.share(model)
        for name in self.replicas[model]:
            self.load[name] += share
            if sign > 0:
                self._push(name)

    def _push(self, target: str) -> None:
        heap = self._heaps.setdefault(self.targets[target].service, [])
        heapq.heappush(heap, self._rank(target))

    def _rank(self, target: str) -> _HeapEntry:
        """Order targets by load, among equals by free memory."""
        return (self.utilisation(target), -self.free[target], target)


def list_unneeded(
    layout: Layout,
    models: Iterable[str],
) -> Iterator[tuple[str, str]]:
    """Yield replicas on targets where an exception now forbids them."""
    for model in models:
        need = layout.needs[model]
        for target in sorted(layout.replicas[model]):
            is_unpinned = need.pinned_targets and (
                target not in need.pinned_targets
            )
            if is_unpinned or target in need.forbidden_targets:
                yield model, target
