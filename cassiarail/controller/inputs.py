"""Build the input of a placement policy from declarations and statuses."""

import abc
import math
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from cassiarail.control.executor import KeySize
from cassiarail.control.ledger import TargetSpec, parse_key, round_bytes
from cassiarail.controller.status import StatusDocument, TargetStatus
from cassiarail.declarations.resolve import resolve_policy
from cassiarail.declarations.schema import (
    DeclarationsDocument,
    Match,
    ModelDocument,
    ServiceDocument,
    TargetDocument,
)
from cassiarail.placement.backends.base import (
    HoldingKey,
    ModelNeed,
    PlacementInput,
    TargetCapacity,
)

_ENGINE = 'engine'
_DEFAULT_REPLICAS_MAX = 64
_DEFAULT_DATA_CENTRES = 2


class Forecast(NamedTuple):
    """Hold the forecast load of a model in concurrent requests."""

    demand: float
    variance: float


class DemandSource(abc.ABC):
    """Provide the demand for models and the capacity of targets."""

    @abc.abstractmethod
    def forecast(self) -> Mapping[str, Forecast]:
        """Return the forecast of each model by name."""

    @abc.abstractmethod
    def read_capacity(self, target: str) -> float:
        """Return the concurrent requests a target serves at full speed."""


def list_specs(
    declarations: DeclarationsDocument,
    data_centre: str,
) -> dict[str, TargetSpec]:
    """Return the specs of the engines of a data centre by name."""
    return {
        target['name']: _build_spec(service, target)
        for service in declarations['services']
        if service['kind'] == _ENGINE
        for target in service['targets']
        if target['data_centre'] == data_centre
    }


def list_sizes(
    declarations: DeclarationsDocument,
) -> dict[HoldingKey, KeySize]:
    """Return the memory size of each declared model and adapter."""
    sizes: dict[HoldingKey, KeySize] = {}
    for model in declarations['models']:
        policy = resolve_policy(declarations, _build_match(model))
        key = HoldingKey(model['name'], model['version'])
        sizes[key] = KeySize(
            model['bytes'],
            policy.get('kv_reserve_bytes', 0),
        )
        for adapter in model['adapters']:
            sizes[key._replace(adapter=adapter['name'])] = KeySize(
                adapter['bytes'],
            )
    return sizes


def build_placement_input(
    declarations: DeclarationsDocument,
    statuses: Iterable[StatusDocument],
    demand: DemandSource,
) -> PlacementInput:
    """Return the needs of all models and the state of reachable targets."""
    forecasts = demand.forecast()
    multiples = _list_size_multiples(declarations)
    return PlacementInput(
        models=tuple(
            _build_need(
                declarations, model, forecasts, multiples[model['service']]
            )
            for model in declarations['models']
        ),
        targets=tuple(
            _build_target_capacity(status['data_centre'], target)
            for status in statuses
            for target in status['targets']
            if target['reached']
        ),
        move_price=declarations['fleet']['defaults'].get('move_price', 0),
    )


def _build_spec(service: ServiceDocument, target: TargetDocument) -> TargetSpec:
    return TargetSpec(
        target['name'],
        target['address'],
        service['name'],
        target['accelerators'],
        target['accelerator_memory_bytes'],
        service['checks_fence'],
    )


def _build_need(
    declarations: DeclarationsDocument,
    model: ModelDocument,
    forecasts: Mapping[str, Forecast],
    multiple: int,
) -> ModelNeed:
    policy = resolve_policy(declarations, _build_match(model))
    forecast = forecasts.get(model['name'], Forecast(0, 0))
    return ModelNeed(
        key=HoldingKey(model['name'], model['version']),
        service=model['service'],
        bytes=round_bytes(model['bytes'], multiple),
        kv_reserve_bytes=round_bytes(
            policy.get('kv_reserve_bytes', 0), multiple
        ),
        demand=forecast.demand,
        variance=forecast.variance,
        adapters={
            adapter['name']: round_bytes(adapter['bytes'], multiple)
            for adapter in model['adapters']
        },
        replicas_min=policy.get('replicas_min', 1),
        replicas_max=policy.get('replicas_max', _DEFAULT_REPLICAS_MAX),
        data_centres=policy.get(
            'data_centres_per_model',
            _DEFAULT_DATA_CENTRES,
        ),
        pinned_targets=frozenset(policy.get('pinned_targets', ())),
        forbidden_targets=frozenset(policy.get('forbidden_targets', ())),
    )


def _list_size_multiples(declarations: DeclarationsDocument) -> dict[str, int]:
    """Return the common multiple of the accelerator counts, by service.

    A ledger rounds up to a multiple of the accelerators of its target. A
    plan rounds up to the common multiple, which never gives less, so that a
    plan that fits also fits in the ledgers.
    """
    return {
        service['name']: math.lcm(
            *(target['accelerators'] for target in service['targets']),
        )
        for service in declarations['services']
    }


def _build_target_capacity(
    data_centre: str, target: TargetStatus
) -> TargetCapacity:
    return TargetCapacity(
        name=target['name'],
        service=target['service'],
        data_centre=data_centre,
        memory_bytes=target['memory_bytes'],
        capacity=target['capacity'],
        held=frozenset(parse_key(text) for text in target['held']),
        leaving=target['leaving'],
    )


def _build_match(model: ModelDocument) -> Match:
    return Match(model=model['name'], service=model['service'])
