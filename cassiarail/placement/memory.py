"""Account for the memory of engines, which every load has to fit into."""

from collections.abc import Mapping
from typing import Protocol

from cassiarail.placement.fleet import (
    EngineState,
    HeldSize,
    Step,
    count_adapters,
)


class SizedModel(Protocol):
    """Provide the sizes of a model as it is configured."""

    @property
    def weights_bytes(self) -> int:
        """Return the bytes of the weights."""

    @property
    def adapter_bytes(self) -> int:
        """Return the bytes of each adapter."""


class MemoryAccount:
    """Compute what engines have in use and which loads still fit.

    An engine crashes on a load that exceeds its memory, so unknown sizes
    count as the largest that is possible.
    """

    def __init__(self, models: Mapping[str, SizedModel]) -> None:
        self._models = models

    def size_of(self, engine: EngineState, name: str) -> HeldSize | None:
        """Return the sizes of a model that an engine holds, if known.

        A copy keeps the size that it had when it was loaded, which a newer
        configuration doesn't change.
        """
        recorded = engine.sizes.get(name)
        facts = self._models.get(name)
        if facts is None:
            return recorded
        return HeldSize(facts.weights_bytes, facts.adapter_bytes).combine(
            recorded
        )

    def held_bytes(self, engine: EngineState, name: str) -> int:
        """Return what unloading a model and its adapters frees at most."""
        size = self.size_of(engine, name)
        if size is None:
            return self._unaccounted_bytes(engine)
        return size.total(len(engine.held.get(name, ())))

    def used_bytes(self, engine: EngineState) -> int:
        """Return the bytes of all models and adapters, loading ones included.

        An engine with a model of unknown size counts as full.
        """
        names = set(engine.held)
        if engine.loading:
            names.add(engine.loading)
        if any(self.size_of(engine, name) is None for name in names):
            return engine.capacity_bytes
        return sum(self.held_bytes(engine, name) for name in names)

    def free_bytes(self, engine: EngineState) -> int:
        """Return the bytes that are not in use; negative if exceeded."""
        return engine.capacity_bytes - self.used_bytes(engine)

    def allows(self, engine: EngineState, step: Step) -> bool:
        """Return whether an engine has room for what an order loads."""
        if not step.is_load:
            return True
        facts = self._models.get(step.model)
        if facts is None:
            return False
        if step.adapter:
            return self.has_adapter_room(engine, step.model)
        return facts.weights_bytes <= self.free_bytes(engine)

    def has_adapter_room(self, engine: EngineState, model: str) -> bool:
        """Return whether a slot and memory for an adapter are free."""
        if count_adapters(engine) >= engine.adapter_slots:
            return False
        return self.missing_for_adapter(engine, model) <= 0

    def missing_for_adapter(self, engine: EngineState, model: str) -> int:
        """Return the bytes to free for another adapter; negative if it fits."""
        return self.adapter_bytes(engine, model) - self.free_bytes(engine)

    def adapter_bytes(self, engine: EngineState, model: str) -> int:
        """Return the bytes of another adapter of a model."""
        size = self.size_of(engine, model)
        return engine.capacity_bytes if size is None else size.adapter_bytes

    def _unaccounted_bytes(self, engine: EngineState) -> int:
        known = [self.size_of(engine, name) for name in engine.held]
        used = sum(
            size.total(len(adapters))
            for size, adapters in zip(known, engine.held.values(), strict=True)
            if size is not None
        )
        return max(0, engine.capacity_bytes - used)
