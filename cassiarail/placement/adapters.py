"""Plan which adapters engines load and unload.

Answers adapters that are asked for one by one: an engine has few places for
them, and none can be loaded while it is busy with the weights of a model.
"""

from collections.abc import Iterator

from cassiarail.placement.fleet import (
    EngineState,
    Fleet,
    Step,
    count_adapters,
)

# An adapter that was asked for within this time keeps its place.
_STAY_S = 0.5
_LONG_IDLE_S = 1_000_000.0
# Adapters are named by number.
_PREFIX = 'a'


class AdapterPlanner:
    """Plan the adapters of one moment."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet

    def plan(self) -> Iterator[Step]:
        """Bring the adapters that requests wait for, then likely ones."""
        wanted = sorted(
            self._fleet.adapter_waiting.items(),
            key=lambda row: -row[1],
        )
        taken = {
            engine.name for engine in self._fleet.engines if engine.is_busy
        }
        for (model, adapter), _waiting in wanted:
            step = self._place_adapter(model, adapter, taken, evict=True)
            if step is not None:
                taken.add(step.engine)
                yield step
        for model, adapter in self._list_likely():
            step = self._place_adapter(model, adapter, taken, evict=False)
            if step is not None:
                taken.add(step.engine)
                yield step

    def _place_adapter(
        self,
        model: str,
        adapter: str,
        taken: set[str],
        *,
        evict: bool,
    ) -> Step | None:
        copies = [
            engine for engine in self._fleet.engines if model in engine.held
        ]
        if any(adapter in engine.held[model] for engine in copies):
            return None
        homes = [engine for engine in copies if engine.name not in taken]
        free = [
            engine
            for engine in homes
            if count_adapters(engine) < engine.adapter_places
        ]
        if free:
            home = min(free, key=count_adapters)
            return Step(home.name, is_load=True, model=model, adapter=adapter)
        return _evict_adapter(homes) if evict else None

    def _list_likely(self) -> Iterator[tuple[str, str]]:
        """Yield adapters of busy models that may be asked for soon.

        Loading one early is nearly free, while a request that waits for one
        is late when the engine is busy with a model's weights. Before there
        is demand, models with several copies are taken as the busy ones.
        """
        for facts in self._fleet.models.values():
            name = facts.name
            copies = sum(name in each.held for each in self._fleet.engines)
            demand = self._fleet.demand.get(name)
            is_asked = demand is not None and demand.asked_per_s > 0
            if copies > 1 or (copies and is_asked):
                for number in range(1, facts.adapter_count + 1):
                    yield name, f'{_PREFIX}{number}'


def _evict_adapter(homes: list[EngineState]) -> Step | None:
    longest: tuple[float, Step] | None = None
    for engine in homes:
        for model, adapter in _list_adapters(engine):
            key = (model, adapter)
            idle_s = engine.adapter_idle_s.get(key, _LONG_IDLE_S)
            if longest is None or idle_s > longest[0]:
                step = Step(
                    engine.name,
                    is_load=False,
                    model=model,
                    adapter=adapter,
                )
                longest = (idle_s, step)
    if longest is None or longest[0] < _STAY_S:
        return None
    return longest[1]


def _list_adapters(engine: EngineState) -> Iterator[tuple[str, str]]:
    for model, adapters in engine.held.items():
        for adapter in adapters:
            yield model, adapter
