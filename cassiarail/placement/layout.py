"""Track what every target would hold under the plan being made."""

import heapq
from collections.abc import Iterable, Iterator

from cassiarail.placement.backends.base import (
    HoldingKey,
    ModelNeed,
    PlacementInput,
    TargetCapacity,
)
from cassiarail.placement.homes import size_bundle

# A bounded search keeps one placement step at O(log n). Targets come in order
# of load, so a longer search gains little.
_SEARCH_TARGETS = 24
_HeapEntry = tuple[float, int, str]


class Layout:
    """Hold replicas, free memory and expected load of all targets.

    Load is the demand of each model spread evenly over its replicas, in
    concurrent requests.
    """

    def __init__(self, placement_input: PlacementInput) -> None:
        self.targets = {
            target.name: target for target in placement_input.targets
        }
        self.needs = {need.key.model: need for need in placement_input.models}
        self.free = {
            target.name: target.memory_bytes
            for target in placement_input.targets
        }
        self.load = {
            target.name: float(0) for target in placement_input.targets
        }
        self.replicas: dict[str, set[str]] = {
            name: set() for name in self.needs
        }
        self.outdated: dict[str, set[HoldingKey]] = {}
        self.models: dict[str, set[str]] = {
            name: set() for name in self.targets
        }
        self._heaps: dict[str, list[_HeapEntry]] = {}
        for target in placement_input.targets:
            self._adopt_holdings(target)
        for target in placement_input.targets:
            self._push(target.name)

    def add(self, model: str, target: str) -> None:
        """Place a replica and redistribute the model's demand."""
        need = self.needs[model]
        self._spread_load(model, -1)
        self.replicas[model].add(target)
        self.models[target].add(model)
        self.free[target] -= size_bundle(need)
        self._spread_load(model, 1)

    def remove(self, model: str, target: str) -> None:
        """Remove a replica and redistribute the model's demand."""
        self._spread_load(model, -1)
        self.replicas[model].discard(target)
        self.models[target].discard(model)
        self.free[target] += size_bundle(self.needs[model])
        self._spread_load(model, 1)
        self._push(target)

    def share(self, model: str, extra: int = 0) -> float:
        """Return the demand per replica, with ``extra`` replicas added."""
        count = len(self.replicas[model]) + extra
        return self.needs[model].demand / count if count else 0

    def allows_replica(self, need: ModelNeed, target: str) -> bool:
        """Return whether rules, not memory, allow a new replica."""
        target_capacity = self.targets[target]
        if target_capacity.leaving or target_capacity.service != need.service:
            return False
        if target in need.forbidden_targets:
            return False
        if need.pinned_targets and target not in need.pinned_targets:
            return False
        return target not in self.replicas[need.key.model]

    def find_target(self, need: ModelNeed) -> str | None:
        """Return the least loaded target with memory for a replica."""
        size = size_bundle(need)
        for target in self.scan_targets(need):
            if self.free[target] >= size:
                return target
        return None

    def scan_targets(self, need: ModelNeed) -> Iterator[str]:
        """Yield a bounded number of allowed targets, least loaded first.

        For a pinned model, yield only the targets that it is pinned to.
        """
        if need.pinned_targets:
            names = sorted(need.pinned_targets.intersection(self.targets))
            yield from (
                each for each in names if self.allows_replica(need, each)
            )
            return
        heap = self._heaps.get(need.service, [])
        popped: list[_HeapEntry] = []
        found: list[str] = []
        while heap and len(found) < _SEARCH_TARGETS:
            entry = heapq.heappop(heap)
            name = entry[-1]
            if entry != self._rank(name):
                continue
            popped.append(entry)
            if self.allows_replica(need, name):
                found.append(name)
        for entry in popped:
            heapq.heappush(heap, entry)
        yield from found

    def utilisation(self, target: str) -> float:
        """Return the load of a target as a share of its capacity."""
        return self.load[target] / self.targets[target].capacity

    def holdings(self) -> dict[str, frozenset[HoldingKey]]:
        """Return what each target should hold, adapters included."""
        planned: dict[str, set[HoldingKey]] = {
            name: set() for name in self.targets
        }
        for model, names in self.replicas.items():
            need = self.needs[model]
            keys = [
                need.key,
                *(need.key._replace(adapter=each) for each in need.adapters),
            ]
            for name in names:
                planned[name].update(keys)
        return {target: frozenset(held) for target, held in planned.items()}

    def _adopt_holdings(self, target: TargetCapacity) -> None:
        for key in target.held:
            need = self.needs.get(key.model)
            if key.adapter or need is None:
                continue
            if key == need.key and not target.leaving:
                self.add(key.model, target.name)
            else:
                # An outdated version occupies memory until the new version
                # serves elsewhere.
                self.free[target.name] -= size_bundle(need)
                self.outdated.setdefault(target.name, set()).add(key)

    def _spread_load(self, model: str, sign: int) -> None:
        share = sign * self.share(model)
        for name in self.replicas[model]:
            self.load[name] += share
            if sign > 0:
                self._push(name)

    def _push(self, target: str) -> None:
        heap = self._heaps.setdefault(self.targets[target].service, [])
        heapq.heappush(heap, self._rank(target))

    def _rank(self, target: str) -> _HeapEntry:
        """Return the sort key of a target: load, then free memory."""
        return (self.utilisation(target), -self.free[target], target)


def list_forbidden(
    layout: Layout,
    models: Iterable[str],
) -> Iterator[tuple[str, str]]:
    """Yield replicas that an exception now forbids on their target."""
    for model in models:
        need = layout.needs[model]
        for target in sorted(layout.replicas[model]):
            is_unpinned = need.pinned_targets and (
                target not in need.pinned_targets
            )
            if is_unpinned or target in need.forbidden_targets:
                yield model, target
