"""Define the routes and services of the current configuration."""

import enum
import zlib
from collections.abc import Mapping
from typing import NamedTuple

from cassiarail.http1.assembly import ClientLimits
from cassiarail.placement.adapters import ADAPTER_PREFIX
from cassiarail.security.accounts import AccountDirectory

_NUMBER_DIGITS = 9


class RouteKind(enum.Enum):
    """Name how often a request may run."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAM = 'stream'


class ServiceShare(NamedTuple):
    """Assign a share of a route's requests to a service."""

    service: str
    weight: int


class Route(NamedTuple):
    """Describe the requests of one host and path prefix.

    ``rank`` is the priority, 0 first. ``attempts`` is the maximum number of
    targets at which one request may run. ``objective_s`` is the target time
    to the response, or to the first event of a stream; ``pause_s`` is the
    longest pause between events that still meets the objective. Requests of a
    route that ``is_anonymous`` need no key.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_s: float
    objective_s: float
    rank: int
    shares: tuple[ServiceShare, ...]
    attempts: int
    can_resume: bool
    pause_s: float
    is_anonymous: bool = False

    @property
    def may_repeat(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or self.can_resume

    @property
    def is_stream(self) -> bool:
        """Return whether responses are streams of events."""
        return self.kind is RouteKind.STREAM

    def pick_service(self, request_id: str) -> str:
        """Return the service of a request by the weights of the shares."""
        total = sum(share.weight for share in self.shares)
        point = zlib.crc32(request_id.encode()) % max(1, total)
        for share in self.shares:
            point -= share.weight
            if point < 0:
                return share.service
        return self.shares[-1].service


class Model(NamedTuple):
    """Describe the weights of a model and their load time by source."""

    name: str
    weights_bytes: int
    adapter_count: int
    adapter_bytes: int
    store_load_s: float
    disk_load_s: float
    memory_load_s: float

    def has_adapter(self, name: str) -> bool:
        """Return whether an adapter of that name exists."""
        number = name.removeprefix(ADAPTER_PREFIX)
        is_number = len(number) < _NUMBER_DIGITS and number.isdecimal()
        if not (is_number and name.startswith(ADAPTER_PREFIX)):
            return False
        return 1 <= int(number) <= self.adapter_count


class EngineType(NamedTuple):
    """Describe the engines of a service.

    ``loads_per_s`` limits the loads from the weight store over all engines.
    """

    slots: int
    kv_token_capacity: int
    weights_bytes: int
    adapter_slots: int
    loads_per_s: float
    models: Mapping[str, Model]

    def has_variant(self, model: str, adapter: str) -> bool:
        """Return whether a model, and its adapter if one is named, exist."""
        known = self.models.get(model)
        if known is None:
            return False
        return not adapter or known.has_adapter(adapter)


class Service(NamedTuple):
    """Describe a service; ``engine`` is set if it serves models."""

    name: str
    connections_max: int
    engine: EngineType | None


class Configuration(NamedTuple):
    """Hold one version of all routes, services and client accounts."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: ClientLimits
    accounts: AccountDirectory = AccountDirectory()

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix."""
        found: Route | None = None
        for route in self.routes:
            if route.host != host or not path.startswith(route.path_prefix):
                continue
            if found is None or len(route.path_prefix) > len(found.path_prefix):
                found = route
        return found


class CurrentConfiguration:
    """Hold the newest configuration; an older one never replaces it."""

    def __init__(self) -> None:
        self.current: Configuration | None = None

    def offer(self, candidate: Configuration) -> bool:
        """Apply a configuration if it is newer; return whether it was."""
        if self.current and candidate.version <= self.current.version:
            return False
        self.current = candidate
        return True

    def get_version(self) -> int:
        """Return the version that is applied, or 0."""
        return self.current.version if self.current else 0

    def limits(self) -> ClientLimits:
        """Return the limits for clients."""
        return self.current.limits if self.current else ClientLimits()
