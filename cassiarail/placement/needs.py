"""Derive the input of a plan from the declarations."""

from collections.abc import Iterable

from cassiarail.declarations.resolve import resolve_policy
from cassiarail.declarations.schema import (
    DeclarationsDocument,
    Match,
    ModelDocument,
    TargetDocument,
)
from cassiarail.placement.backends.base import (
    HoldingKey,
    ModelNeed,
    TargetCapacity,
)
from cassiarail.placement.demand import Forecast
from cassiarail.placement.homes import Homes, count_base_replicas

# Concurrent requests that an accelerator serves at full speed.
CAPACITY_PER_ACCELERATOR = 16.0


def build_need(
    declarations: DeclarationsDocument,
    model: ModelDocument,
    forecast: Forecast,
) -> ModelNeed:
    """Return the need of a model over the whole fleet."""
    subject = Match(model=model['name'], service=model['service'])
    policy = resolve_policy(declarations, subject)
    return ModelNeed(
        key=HoldingKey(model['name'], model['version']),
        service=model['service'],
        bytes=model['bytes'],
        kv_reserve_bytes=policy['kv_reserve_bytes'],
        demand=forecast.demand,
        variance=forecast.variance,
        adapters={each['name']: each['bytes'] for each in model['adapters']},
        replicas_min=policy['replicas_min'],
        replicas_max=policy['replicas_max'],
        data_centres=policy['data_centres_per_model'],
        pinned_targets=frozenset(policy.get('pinned_targets', [])),
        forbidden_targets=frozenset(policy.get('forbidden_targets', [])),
    )


def build_room(
    service: str,
    target: TargetDocument,
    held: Iterable[HoldingKey] = (),
    *,
    leaving: bool = False,
) -> TargetCapacity:
    """Return the room of a declared engine."""
    accelerators = target['accelerators']
    return TargetCapacity(
        name=target['name'],
        service=service,
        data_centre=target['data_centre'],
        memory_bytes=accelerators * target['accelerator_memory_bytes'],
        capacity=accelerators * CAPACITY_PER_ACCELERATOR,
        held=frozenset(held),
        leaving=leaving,
    )


def list_capacities(
    declarations: DeclarationsDocument,
) -> tuple[TargetCapacity, ...]:
    """Return the rooms of all declared engines, empty."""
    return tuple(
        build_room(service['name'], target)
        for service in declarations['services']
        if service['kind'] == 'engine'
        for target in service['targets']
    )


def localise_need(
    need: ModelNeed,
    homes: Homes,
    data_centre: str,
) -> ModelNeed:
    """Return the part of a need that one data centre covers.

    A model whose home is elsewhere needs no replica here; it stays in the
    plan while a target holds it, so that its memory counts.
    """
    names = homes.by_model[need.key.model]
    if data_centre not in names:
        return need._replace(replicas_min=0, demand=0, data_centres=1)
    return need._replace(
        replicas_min=count_base_replicas(need, names),
        demand=need.demand / len(names),
        base_assignments=homes.base_assignments[need.key.model][data_centre],
        data_centres=1,
    )
