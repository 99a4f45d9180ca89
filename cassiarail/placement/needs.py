"""Derive the input of a plan from the declarations."""

from collections.abc import Callable, Iterable, Mapping

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
    PlacementInput,
    TargetRoom,
)
from cassiarail.placement.demand import Forecast
from cassiarail.placement.homes import assign_homes, count_base_replicas

ForecastSource = Callable[[str], Forecast]
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
) -> TargetRoom:
    """Return the room of a declared engine."""
    accelerators = target['accelerators']
    return TargetRoom(
        name=target['name'],
        service=service,
        data_centre=target['data_centre'],
        memory_bytes=accelerators * target['accelerator_memory_bytes'],
        capacity=accelerators * CAPACITY_PER_ACCELERATOR,
        held=frozenset(held),
        leaving=leaving,
    )


def build_situation(
    declarations: DeclarationsDocument,
    data_centre: str,
    held: Mapping[str, Iterable[HoldingKey]],
    leaving: Iterable[str],
    forecast: ForecastSource,
) -> PlacementInput:
    """Return what one data centre has to place.

    ``held`` maps targets to what they hold or load, ``leaving`` names the
    targets on their way out. Models whose homes are elsewhere are included,
    with no replica required, while a target here holds them.
    """
    away = frozenset(leaving)
    rooms = [
        build_room(
            service['name'],
            target,
            held.get(target['name'], ()),
            leaving=target['name'] in away,
        )
        for service in declarations['services']
        if service['kind'] == 'engine'
        for target in service['targets']
    ]
    needs = [
        build_need(declarations, model, forecast(model['name']))
        for model in declarations['models']
    ]
    homes = assign_homes(needs, rooms).by_model
    local = [room for room in rooms if room.data_centre == data_centre]
    held_here = {key.model for room in local for key in room.held}
    localised = [
        _localise(need, homes[need.key.model], data_centre) for need in needs
    ]
    return PlacementInput(
        models=tuple(
            need
            for need in localised
            if need.replicas_min or need.key.model in held_here
        ),
        targets=tuple(local),
        move_price=declarations['fleet']['defaults']['move_price'],
    )


def _localise(
    need: ModelNeed,
    homes: tuple[str, ...],
    data_centre: str,
) -> ModelNeed:
    if data_centre not in homes:
        return need._replace(replicas_min=0, demand=0, data_centres=1)
    return need._replace(
        replicas_min=count_base_replicas(need, homes),
        demand=need.demand / len(homes),
        data_centres=1,
    )
