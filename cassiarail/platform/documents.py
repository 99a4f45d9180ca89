"""Decode documents of the platform's store into internal types."""

import ipaddress
import math
from collections.abc import Mapping
from typing import Annotated, Any, Literal

import msgspec

from cassiarail.edge.dialect import EngineActivity, UnreadableDocumentError
from cassiarail.edge.registry.configuration import (
    Configuration,
    EngineType,
    Model,
    Route,
    RouteKind,
    Service,
    ServiceShare,
)
from cassiarail.edge.registry.targets import Holdings, Target
from cassiarail.http1.assembly import ClientLimits
from cassiarail.http1.pool import Address
from cassiarail.platform.accounts import Tenant, convert_account
from cassiarail.security.accounts import AccountDirectory

_MS = 1000
_MEGABYTE = 1_000_000


# An entry that is longer doesn't fit in a datagram with others. Those of the
# known deployments have less than 2 kB.
_MAX_ENTRY_BYTES = 6000
# Whole numbers that each JSON library reads exactly.
_MAX_WHOLE = 9_007_199_254_740_992
_MAX_SLOTS = 1_000_000
_WholeNumber = Annotated[int, msgspec.Meta(ge=0, le=_MAX_WHOLE)]
_SlotCount = Annotated[int, msgspec.Meta(ge=0, le=_MAX_SLOTS)]


class _LoadedModel(msgspec.Struct):
    name: str
    adapters: list[str] = []


class _ModelCopies(msgspec.Struct):
    in_memory: list[str] = []
    on_disk: list[str] = []


class _TargetEntry(msgspec.Struct):
    """Define an engine's entry; its ``seq`` counts heartbeats, not orders."""

    service: str
    addr: str
    zone: str
    slots: _SlotCount
    state: Literal['ready', 'draining']
    born: _WholeNumber = 0
    models: list[_LoadedModel] = []
    at_hand: _ModelCopies | None = None


class _EngineReport(msgspec.Struct):
    """Define an engine's report; ``seq`` counts its accepted orders.

    ``coming`` lists adapters in transit, as MODEL/ADAPTER@VERSION.
    """

    models: list[_LoadedModel]
    seq: _WholeNumber
    busy: bool
    born: _WholeNumber = 0
    at_hand: _ModelCopies | None = None
    coming: list[str] = []


class _EngineActivity(msgspec.Struct):
    """Define the part of a report that concerns requests.

    Each entry of ``runs`` is a list that begins with the request's id.
    """

    waiting: _WholeNumber
    runs: list[list[Any]]
    born: _WholeNumber = 0


class _WeightedService(msgspec.Struct):
    service: str
    wt: int


class _RouteEntry(msgspec.Struct):
    """Define a route.

    ``goal_ms`` is its objective and ``priority`` its rank.
    """

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: int
    attempts: int
    goal_ms: int = 1000
    priority: int = 0
    service: str = ''
    split: list[_WeightedService] = []
    can_resume: bool = False
    gap_aim_ms: int = 0
    anon: bool = False


class _ModelSpec(msgspec.Struct):
    """Define a model; ``adapters`` is a count, not a list as in entries."""

    name: str
    weights_mb: float
    load_s: float
    adapters: int = 0
    adapter_mb: float = 0
    warm_s: float | None = None
    disk_s: float | None = None


class _EngineSpec(msgspec.Struct):
    slots: int
    kv_tokens: int
    models: list[_ModelSpec] = []
    weights_mb: float = 0
    adapter_slots: int = 0
    loads_per_s: float = 1


class _ServiceEntry(msgspec.Struct):
    name: str
    max_conns: int = 64
    engine: _EngineSpec | None = None


class _Limits(msgspec.Struct, frozen=True):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: int = 3000
    idle_ms: int = 15_000


class _Config(msgspec.Struct):
    version: int
    routes: list[_RouteEntry]
    services: list[_ServiceEntry]
    limits: _Limits = _Limits()
    tenants: list[Tenant] = []


def decode_target(instance: str, document: Any) -> Target:
    """Decode an engine's entry.

    Raises ``UnreadableDocumentError`` if it is invalid.
    """
    try:
        entry = msgspec.convert(document, _TargetEntry)
        address = Address.parse(entry.addr)
        ipaddress.IPv4Address(address.host)
        size = len(msgspec.json.encode(entry))
    except ValueError as error:
        raise UnreadableDocumentError(f'{instance}: {error}') from error
    if size > _MAX_ENTRY_BYTES:
        raise UnreadableDocumentError(f'{instance}: {size} bytes are too long')
    return Target(
        instance=instance,
        born_ms=entry.born,
        service=entry.service,
        address=address,
        data_centre=entry.zone,
        slots=max(1, entry.slots),
        is_leaving=entry.state == 'draining',
        holdings=_convert_holdings(0, entry.models, entry.at_hand),
    )


def decode_report(body: bytes) -> tuple[int, Holdings, bool]:
    """Decode an engine's report: start time, holdings and whether it is busy.

    Raises ``UnreadableDocumentError`` if it is invalid.
    """
    try:
        report = msgspec.json.decode(body, type=_EngineReport)
    except (ValueError, RecursionError) as error:
        raise UnreadableDocumentError(f'report: {error}') from error
    holdings = _convert_holdings(report.seq, report.models, report.at_hand)
    models = _add_coming(holdings.models, report.coming)
    return report.born, holdings._replace(models=models), report.busy


def decode_activity(body: bytes) -> EngineActivity:
    """Decode the requests that an engine's report lists.

    Raises ``UnreadableDocumentError`` if it is invalid.
    """
    try:
        activity = msgspec.json.decode(body, type=_EngineActivity)
    except (ValueError, RecursionError) as error:
        raise UnreadableDocumentError(f'report: {error}') from error
    return EngineActivity(
        activity.born,
        frozenset(str(run[0]) for run in activity.runs if run),
        activity.waiting,
    )


def decode_configuration(document: Any) -> Configuration:
    """Decode the operator's configuration.

    Raises ``UnreadableDocumentError`` if it is invalid.
    """
    try:
        config = msgspec.convert(document, _Config)
        routes = tuple(_convert_route(route) for route in config.routes)
    except ValueError as error:
        raise UnreadableDocumentError(f'configuration: {error}') from error
    limits = config.limits
    return Configuration(
        config.version,
        routes,
        {each.name: _convert_service(each) for each in config.services},
        ClientLimits(
            head_max_bytes=limits.max_header_bytes,
            body_max_bytes=limits.max_body_bytes,
            read_timeout_s=limits.header_timeout_ms / _MS,
            idle_s=limits.idle_ms / _MS,
        ),
        AccountDirectory([convert_account(each) for each in config.tenants]),
    )


def _convert_holdings(
    order_count: int,
    models: list[_LoadedModel],
    at_hand: _ModelCopies | None,
) -> Holdings:
    copies = at_hand or _ModelCopies()
    return Holdings(
        {loaded.name: frozenset(loaded.adapters) for loaded in models},
        frozenset(copies.in_memory),
        frozenset(copies.on_disk),
        order_count,
    )


def _add_coming(
    models: Mapping[str, frozenset[str]], coming: list[str]
) -> dict[str, frozenset[str]]:
    """Add adapters in transit, which take slots and memory already."""
    changed = dict(models)
    for text in coming:
        model, _, versioned = text.partition('/')
        adapter = versioned.partition('@')[0]
        held = changed.get(model)
        if held is not None and adapter:
            changed[model] = held | {adapter}
    return changed


def _convert_route(route: _RouteEntry) -> Route:
    shares = [ServiceShare(part.service, part.wt) for part in route.split]
    if not shares:
        shares = [ServiceShare(route.service, 1)]
    return Route(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        kind=RouteKind(route.kind),
        timeout_s=route.timeout_ms / _MS,
        objective_s=route.goal_ms / _MS,
        rank=route.priority,
        shares=tuple(shares),
        attempts=route.attempts,
        can_resume=route.can_resume,
        pause_s=route.gap_aim_ms / _MS,
        is_anonymous=route.anon,
    )


def _convert_service(service: _ServiceEntry) -> Service:
    engine = service.engine
    if engine is None:
        return Service(service.name, service.max_conns, None)
    return Service(
        service.name,
        service.max_conns,
        EngineType(
            slots=engine.slots,
            kv_token_capacity=engine.kv_tokens,
            weights_bytes=int(engine.weights_mb * _MEGABYTE),
            adapter_slots=engine.adapter_slots,
            loads_per_s=engine.loads_per_s,
            models={each.name: _convert_model(each) for each in engine.models},
        ),
    )


def _convert_model(model: _ModelSpec) -> Model:
    return Model(
        name=model.name,
        weights_bytes=math.ceil(model.weights_mb * _MEGABYTE),
        adapter_count=model.adapters,
        adapter_bytes=math.ceil(model.adapter_mb * _MEGABYTE),
        store_load_s=model.load_s,
        disk_load_s=model.load_s if model.disk_s is None else model.disk_s,
        memory_load_s=model.load_s if model.warm_s is None else model.warm_s,
    )
