"""Estimate when an engine can serve the model that a request needs."""

from cassiarail.edge.fleet.presence import Presence
from cassiarail.edge.registry.configuration import (
    CurrentConfiguration,
    EngineType,
    Model,
)
from cassiarail.edge.registry.targets import (
    ModelVariant,
    Target,
    TargetDirectory,
)
from cassiarail.placement.fleet import EngineState
from cassiarail.placement.memory import MemoryAccount

# From the demand report of a request to the engine's accepted order and back.
_ORDER_S = 0.15
_ADAPTER_S = 0.05
# Unloading a model that leaves an adapter no memory waits for its running
# requests, for about this long.
_ROOM_S = 1.5
# A lease has to expire and the hold-off of a new leader to pass.
_NO_LEADER_S = 4.0


class LoadTimeEstimator:
    """Estimate load times from what engines hold and the leader announces."""

    def __init__(
        self,
        directory: TargetDirectory,
        configuration: CurrentConfiguration,
        presence: Presence,
    ) -> None:
        self._directory = directory
        self._configuration = configuration
        self._presence = presence

    def estimate(self, service: str, variant: ModelVariant) -> float:
        """Return the seconds until a model variant can be used."""
        targets = self._directory.of_service(service)
        wait_s = 0 if self._presence.has_leader() else _NO_LEADER_S
        holders = [
            each for each in targets if variant.model in each.holdings.models
        ]
        if holders:
            if variant.adapter and not self._has_room(
                service, variant, holders
            ):
                wait_s += _ROOM_S
            return wait_s + _ADAPTER_S
        announced_s = self._presence.seconds_until_ready(service, variant.model)
        if announced_s is not None:
            return announced_s + _ADAPTER_S
        return (
            wait_s + _ORDER_S + self._shortest_load_s(service, variant, targets)
        )

    def _has_room(
        self, service: str, variant: ModelVariant, holders: list[Target]
    ) -> bool:
        """Return whether evicting adapters is enough to load another one."""
        engine = self._find_engine(service)
        if engine is None or variant.model not in engine.models:
            return True
        memory = MemoryAccount(engine.models)
        return any(
            memory.has_adapter_room(
                _describe_without_adapters(engine, each), variant.model
            )
            for each in holders
        )

    def _find_engine(self, service: str) -> EngineType | None:
        current = self._configuration.current
        found = current.services.get(service) if current else None
        return found.engine if found else None

    def _shortest_load_s(
        self,
        service: str,
        variant: ModelVariant,
        targets: list[Target],
    ) -> float:
        engine = self._find_engine(service)
        model = engine.models.get(variant.model) if engine else None
        if model is None:
            # A newer configuration than the request's has removed it.
            return _NO_LEADER_S
        return min(
            (_load_time_s(model, target) for target in targets),
            default=model.store_load_s,
        )


def _describe_without_adapters(
    engine: EngineType, target: Target
) -> EngineState:
    """Return a target as if its adapters, which may be evicted, were gone."""
    return EngineState(
        target.instance,
        engine.weights_bytes,
        engine.adapter_slots,
        target.slots,
        {name: frozenset() for name in target.holdings.models},
    )


def _load_time_s(model: Model, target: Target) -> float:
    if model.name in target.holdings.in_memory:
        return model.memory_load_s
    if model.name in target.holdings.on_disk:
        return model.disk_load_s
    return model.store_load_s
