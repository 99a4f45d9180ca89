"""Check the services and the limits of a configuration."""

from collections.abc import Iterator

from cassiarail.core.checks import CheckMessage, Severity
from cassiarail.edge.registry.configuration import (
    Configuration,
    EngineType,
    Service,
)
from cassiarail.http1.assembly import ClientLimits


def check_services(configuration: Configuration) -> Iterator[CheckMessage]:
    """Yield the problems of all services."""
    used = {
        share.service
        for route in configuration.routes
        for share in route.shares
    }
    for service in configuration.services.values():
        path = f'$.services.{service.name}'
        if service.name not in used:
            yield CheckMessage(
                'C030',
                path,
                'gets no request: no route leads to it',
                severity=Severity.WARNING,
            )
        yield from _check_connections(service, path)
        if service.engine is not None:
            yield from _check_engine(service.engine, path)


def check_limits(limits: ClientLimits) -> Iterator[CheckMessage]:
    """Yield the problems of the limits of callers."""
    for name in ('head_max_bytes', 'body_max_bytes', 'read_timeout_s'):
        if getattr(limits, name) <= 0:
            yield CheckMessage(
                'C050', f'$.limits.{name}', 'refuses every request'
            )
    if limits.idle_s < limits.read_timeout_s:
        yield CheckMessage(
            'C051',
            '$.limits.idle_s',
            f'{limits.idle_s:g} s close connections while a request may still'
            f' be sent for {limits.read_timeout_s:g} s (read_timeout_s)',
            severity=Severity.WARNING,
        )


def _check_connections(service: Service, path: str) -> Iterator[CheckMessage]:
    if service.connections_max < 1:
        yield CheckMessage(
            'C031', f'{path}.connections_max', 'allows no connection'
        )
    elif service.engine and service.connections_max < service.engine.slots:
        yield CheckMessage(
            'C032',
            f'{path}.connections_max',
            f'{service.connections_max} connections never use all'
            f' {service.engine.slots} slots',
        )


def _check_engine(engine: EngineType, path: str) -> Iterator[CheckMessage]:
    if engine.slots < 1:
        yield CheckMessage('C033', f'{path}.slots', 'runs no request')
    if engine.kv_token_capacity < 1:
        yield CheckMessage(
            'C034', f'{path}.kv_token_capacity', 'has no memory for tokens'
        )
    if engine.loads_per_s <= 0 < len(engine.models):
        yield CheckMessage(
            'C035', f'{path}.loads_per_s', 'no model can be loaded'
        )
    for model in engine.models.values():
        model_path = f'{path}.models.{model.name}'
        if model.weights_bytes > engine.weights_bytes:
            yield CheckMessage(
                'C036',
                f'{model_path}.weights_bytes',
                f'{model.weights_bytes} bytes never fit on an engine with'
                f' {engine.weights_bytes}',
            )
        if model.adapter_count and not engine.adapter_slots:
            yield CheckMessage(
                'C037',
                f'{model_path}.adapter_count',
                'adapters are never loaded: adapter_slots is 0',
            )
        with_adapter = model.weights_bytes + model.adapter_bytes
        if model.adapter_count and with_adapter > engine.weights_bytes:
            yield CheckMessage(
                'C038',
                f'{model_path}.adapter_bytes',
                'the model fits on an engine only without an adapter',
            )
