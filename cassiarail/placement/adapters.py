"""Plan which adapters engines load and unload.

An engine has few adapter slots and can't load an adapter while it loads the
weights of a model.
"""

from collections.abc import Iterator

from cassiarail.placement.fleet import (
    EngineState,
    Fleet,
    Step,
    count_adapters,
)

# An adapter that was requested within this time is not evicted.
_MIN_RESIDENCE_S = 0.5
_UNKNOWN_IDLE_S = 1_000_000.0
# Adapter names are this prefix and a number.
_ADAPTER_PREFIX = 'a'


class AdapterPlanner:
    """Plan adapter loads and unloads for one snapshot of the fleet."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet

    def plan(self) -> Iterator[Step]:
        """Yield loads that requests wait for, then preloads."""
        requested = sorted(
            self._fleet.adapter_waiting.items(),
            key=lambda row: -row[1],
        )
        used_engines = {
            engine.name for engine in self._fleet.engines if engine.is_busy
        }
        for (model, adapter), _waiting in requested:
            step = self._place_adapter(model, adapter, used_engines, evict=True)
            if step is not None:
                used_engines.add(step.engine)
                yield step
        for model, adapter in self._list_preloads():
            step = self._place_adapter(
                model, adapter, used_engines, evict=False
            )
            if step is not None:
                used_engines.add(step.engine)
                yield step

    def _place_adapter(
        self,
        model: str,
        adapter: str,
        used_engines: set[str],
        *,
        evict: bool,
    ) -> Step | None:
        copies = [
            engine for engine in self._fleet.engines if model in engine.held
        ]
        if any(adapter in engine.held[model] for engine in copies):
            return None
        candidates = [
            engine for engine in copies if engine.name not in used_engines
        ]
        free = [
            engine
            for engine in candidates
            if count_adapters(engine) < engine.adapter_slots
        ]
        if free:
            chosen = min(free, key=count_adapters)
            return Step(chosen.name, is_load=True, model=model, adapter=adapter)
        return _evict_adapter(candidates) if evict else None

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
                    yield name, f'{_ADAPTER_PREFIX}{number}'


def _evict_adapter(candidates: list[EngineState]) -> Step | None:
    longest: tuple[float, Step] | None = None
    for engine in candidates:
        for model, adapter in _list_adapters(engine):
            key = (model, adapter)
            idle_s = engine.adapter_idle_s.get(key, _UNKNOWN_IDLE_S)
            if longest is None or idle_s > longest[0]:
                step = Step(
                    engine.name,
                    is_load=False,
                    model=model,
                    adapter=adapter,
                )
                longest = (idle_s, step)
    if longest is None or longest[0] < _MIN_RESIDENCE_S:
        return None
    return longest[1]


def _list_adapters(engine: EngineState) -> Iterator[tuple[str, str]]:
    for model, adapters in engine.held.items():
        for adapter in adapters:
            yield model, adapter
