"""Define the settings documents of the stand-ins; durations in seconds."""

from collections.abc import Mapping
from typing import NotRequired

from typing_extensions import TypedDict

from cassiarail.core.checks import CheckMessage
from cassiarail.core.validation import CheckIds, DocumentChecker
from cassiarail.declarations.schema import DeclarationsDocument


class EngineDocument(TypedDict):
    """Describe an engine; its memory is the sum over its accelerators."""

    name: str
    service: str
    data_centre: str
    address: str
    accelerators: int
    memory_bytes: int
    checks_fence: bool


class PlainServiceDocument(TypedDict):
    """Describe an instance of a plain service."""

    name: str
    service: str
    data_centre: str
    address: str


class EntryHostDocument(TypedDict):
    """Describe an entry host of the host list."""

    name: str
    data_centre: str
    address: str


class HeldDocument(TypedDict):
    """Describe a model or adapter that is loaded on an engine at the start."""

    target: str
    model: str
    version: str
    adapter: NotRequired[str]
    bytes: int


class FaultDocument(TypedDict):
    """Describe a change of a fault; ``faults.FaultName`` lists the names."""

    name: str
    on: NotRequired[bool]
    probability: NotRequired[float]
    delay_s: NotRequired[float]
    subjects: NotRequired[list[str]]
    duration_s: NotRequired[float]


class StandinsDocument(TypedDict):
    """Describe all external systems of a deployment.

    Addresses are ``ip:port``. ``restart_s`` is the delay before a crashed
    target restarts, ``leave_s`` the maximum time from leaving to the stop.
    """

    seed: int
    engines: list[EngineDocument]
    services: list[PlainServiceDocument]
    entry_hosts: list[EntryHostDocument]
    held: list[HeldDocument]
    objects_address: str
    weights_address: str
    hosts_address: str
    control_address: str
    weight_loads_per_second: float
    weight_loads_at_once: int
    adapter_loads_in_flight: int
    restart_s: float
    leave_s: float
    host_list_lag_s: float
    faults: list[FaultDocument]


class PlatformAddresses(TypedDict):
    """Hold the platform addresses, which declarations don't contain."""

    objects_address: str
    weights_address: str
    hosts_address: str
    control_address: str


_CHECK_IDS = CheckIds(wrong_type='S060', unknown_key='S061', missing_key='S062')
_RESTART_S = 2
_LEAVE_S = 30
_HOST_LIST_LAG_S = 2
_ENGINE_KIND = 'engine'


def check_settings(document: object) -> list[CheckMessage]:
    """Return all validation errors of a settings document."""
    return DocumentChecker(StandinsDocument, _CHECK_IDS).check(document)


def derive_settings(
    declarations: DeclarationsDocument,
    addresses: PlatformAddresses,
    seed: int = 1,
) -> StandinsDocument:
    """Build the stand-ins' settings from the declarations of a deployment."""
    fleet = declarations['fleet']
    platform = fleet['platform']
    return StandinsDocument(
        seed=seed,
        engines=_derive_engines(declarations),
        services=[
            PlainServiceDocument(
                name=target['name'],
                service=service['name'],
                data_centre=target['data_centre'],
                address=target['address'],
            )
            for service in declarations['services']
            if service['kind'] != _ENGINE_KIND
            for target in service['targets']
        ],
        entry_hosts=[],
        held=[],
        weight_loads_per_second=platform['weight_loads_per_second'],
        weight_loads_at_once=platform['weight_loads_at_once'],
        adapter_loads_in_flight=platform['adapter_loads_in_flight'],
        restart_s=_RESTART_S,
        leave_s=_LEAVE_S,
        host_list_lag_s=_HOST_LIST_LAG_S,
        faults=[],
        **addresses,
    )


def list_addresses(settings: StandinsDocument) -> Mapping[str, str]:
    """Return the address of each stand-in by its name."""
    addresses_by_name = {
        'objects': settings['objects_address'],
        'weights': settings['weights_address'],
        'hosts': settings['hosts_address'],
        'control': settings['control_address'],
    }
    for engine in settings['engines']:
        addresses_by_name[engine['name']] = engine['address']
    for service in settings['services']:
        addresses_by_name[service['name']] = service['address']
    return addresses_by_name


def _derive_engines(
    declarations: DeclarationsDocument,
) -> list[EngineDocument]:
    return [
        EngineDocument(
            name=target['name'],
            service=service['name'],
            data_centre=target['data_centre'],
            address=target['address'],
            accelerators=target['accelerators'],
            memory_bytes=(
                target['accelerators'] * target['accelerator_memory_bytes']
            ),
            checks_fence=service['checks_fence'],
        )
        for service in declarations['services']
        if service['kind'] == _ENGINE_KIND
        for target in service['targets']
    ]
