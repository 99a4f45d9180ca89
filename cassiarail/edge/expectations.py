"""Estimate when an engine can hold what a request needs."""

from cassiarail.edge.configuration import CurrentConfiguration, Model
from cassiarail.edge.presence import Presence
from cassiarail.edge.targets import Target, TargetDirectory, Want

# From the request's datagram to the engine's order and back.
_ORDER_S = 0.15
_ADAPTER_S = 0.05
# A lease has to lapse and a new holder to keep quiet.
_NO_HOLDER_S = 4.0


class LoadExpectations:
    """Know the load times of models and what engines have at hand."""

    def __init__(
        self,
        directory: TargetDirectory,
        configuration: CurrentConfiguration,
        presence: Presence,
    ) -> None:
        self._directory = directory
        self._configuration = configuration
        self._presence = presence

    def estimate(self, service: str, want: Want) -> float:
        """Return the seconds until something can be used."""
        targets = self._directory.of_service(service)
        wait_s = 0 if self._presence.has_holder() else _NO_HOLDER_S
        if any(want.model in each.holdings.models for each in targets):
            return wait_s + _ADAPTER_S
        announced_s = self._presence.seconds_until(service, want.model)
        if announced_s is not None:
            return announced_s + _ADAPTER_S
        return wait_s + _ORDER_S + self._shortest_load(service, want, targets)

    def _shortest_load(
        self,
        service: str,
        want: Want,
        targets: list[Target],
    ) -> float:
        current = self._configuration.current
        described = current.services.get(service) if current else None
        if described is None or described.engine is None:
            return _NO_HOLDER_S
        model = described.engine.models[want.model]
        return min(
            (_load_time(model, target) for target in targets),
            default=model.store_load_s,
        )


def _load_time(model: Model, target: Target) -> float:
    if model.name in target.holdings.in_memory:
        return model.memory_load_s
    if model.name in target.holdings.on_disk:
        return model.disk_load_s
    return model.store_load_s
