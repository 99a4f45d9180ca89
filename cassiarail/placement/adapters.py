"""Plan which adapters engines load and unload.

An engine has few adapter slots, and memory that adapters share with weights. It
can't load an adapter while it loads the weights of a model.
"""

from collections.abc import Iterator

from cassiarail.placement.fleet import (
    EngineState,
    Fleet,
    Step,
    count_adapters,
)
from cassiarail.placement.impact import ImpactModel
from cassiarail.placement.swaps import find_victims

# An adapter that was requested within this time is not evicted.
_MIN_RESIDENCE_S = 0.5
_UNKNOWN_IDLE_S = 1_000_000.0
# Adapter names are this prefix and a number.
ADAPTER_PREFIX = 'a'


class AdapterPlanner:
    """Plan adapter loads and unloads for one snapshot of the fleet."""

    def __init__(self, fleet: Fleet, impact: ImpactModel) -> None:
        self._fleet = fleet
        self._impact = impact
        self._memory = impact.memory

    def plan(self) -> Iterator[Step]:
        """Yield loads that requests wait for, then preloads."""
        requested = sorted(
            self._fleet.adapter_waiting.items(),
            key=lambda row: -row[1],
        )
        used_engines = {
            engine.name for engine in self._fleet.engines if engine.is_busy
        }
        for (model, adapter), waiting in requested:
            step = self._place_adapter(model, adapter, used_engines, waiting)
            if step is not None:
                used_engines.add(step.engine)
                yield step
        for model, adapter in self._list_preloads():
            step = self._place_adapter(model, adapter, used_engines)
            if step is not None:
                used_engines.add(step.engine)
                yield step

    def _place_adapter(
        self,
        model: str,
        adapter: str,
        used_engines: set[str],
        waiting: int = 0,
    ) -> Step | None:
        """Return an order that loads an adapter or makes room for it.

        Room is made only for an adapter that requests wait for.
        """
        copies = [
            engine for engine in self._fleet.engines if model in engine.held
        ]
        if any(adapter in engine.held[model] for engine in copies):
            return None
        candidates = [
            engine for engine in copies if engine.name not in used_engines
        ]
        loads = [
            Step(engine.name, is_load=True, model=model, adapter=adapter)
            for engine in sorted(candidates, key=count_adapters)
            if self._memory.has_adapter_room(engine, model)
        ]
        if loads:
            return loads[0]
        if not waiting:
            return None
        return self._evict_adapter(candidates, model) or self._evict_model(
            candidates, model, waiting
        )

    def _evict_adapter(
        self, candidates: list[EngineState], wanted: str
    ) -> Step | None:
        """Return the order that unloads the longest idle adapter, if any."""
        options = [
            (engine.adapter_idle_s.get(key, _UNKNOWN_IDLE_S), engine.name, key)
            for engine in candidates
            for key in self._list_evictable(engine, wanted)
        ]
        idle_s, name, key = max(options, default=(0, '', ('', '')))
        if idle_s < _MIN_RESIDENCE_S:
            return None
        return Step(name, is_load=False, model=key[0], adapter=key[1])

    def _list_evictable(
        self, engine: EngineState, wanted: str
    ) -> list[tuple[str, str]]:
        """Return the adapters of an engine if evicting all makes room."""
        adapters = list(_list_adapters(engine))
        freed_bytes = sum(
            self._memory.adapter_bytes(engine, model) for model, _ in adapters
        )
        missing_bytes = self._memory.missing_for_adapter(engine, wanted)
        return adapters if freed_bytes >= missing_bytes else []

    def _evict_model(
        self, candidates: list[EngineState], wanted: str, waiting: int
    ) -> Step | None:
        """Return the cheapest order that unloads a model for an adapter.

        The eviction must cost fewer requests than wait for the adapter.
        """
        options = []
        for engine in candidates:
            others = [name for name in engine.held if name != wanted]
            missing_bytes = self._memory.missing_for_adapter(engine, wanted)
            victims, cost = find_victims(
                missing_bytes, engine, others, self._impact
            )
            if victims and engine.adapter_slots and cost <= waiting:
                options.append((cost, engine.name, victims[0]))
        if not options:
            return None
        _cost, name, victim = min(options)
        self._impact.copies[victim] -= 1
        return Step(name, is_load=False, model=victim)

    def _list_preloads(self) -> Iterator[tuple[str, str]]:
        """Yield the adapters of busy models, which may be requested soon.

        Preloading an adapter costs almost nothing, while a request that needs
        a missing one misses its deadline if the engine is loading the weights
        of a model. Before there is demand, models with several copies count
        as busy.
        """
        for facts in self._fleet.models.values():
            name = facts.name
            copies = sum(name in each.held for each in self._fleet.engines)
            demand = self._fleet.demand.get(name)
            has_requests = demand is not None and demand.requests_per_s > 0
            if copies > 1 or (copies and has_requests):
                for number in range(1, facts.adapter_count + 1):
                    yield name, f'{ADAPTER_PREFIX}{number}'


def _list_adapters(engine: EngineState) -> Iterator[tuple[str, str]]:
    for model, adapters in engine.held.items():
        for adapter in adapters:
            yield model, adapter
