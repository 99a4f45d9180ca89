"""Define the schemas of the declarations.

A declarations folder holds ``defaults.json`` (``FleetDocument``),
``models.json``, ``services.json``, ``callers.json`` (lists) and
``exceptions/*.json`` (one ``ExceptionDocument`` each). Durations are seconds,
sizes are bytes.
"""

from typing import NotRequired

from typing_extensions import TypedDict


class Policy(TypedDict, total=False):
    """Hold the values that defaults set and exceptions may override."""

    replicas_min: int
    replicas_max: int
    data_centres_per_model: int
    move_price: float
    first_token_s: float
    inter_token_s: float
    timeout_s: float
    idle_timeout_s: float
    priority: int
    max_tokens: int
    kv_reserve_bytes: int
    retry_budget_share: float
    pinned_targets: list[str]
    forbidden_targets: list[str]


class PlatformLimits(TypedDict):
    """Hold the limits of the platform that the whole fleet shares."""

    weight_loads_per_second: float
    weight_loads_at_once: int
    adapter_loads_in_flight: int


class FleetDocument(TypedDict):
    """Hold the defaults of the fleet."""

    deployment: str
    region: str
    data_centres: list[str]
    defaults: Policy
    platform: PlatformLimits


class AdapterDocument(TypedDict):
    """Declare an adapter of a model."""

    name: str
    bytes: int


class ModelDocument(TypedDict):
    """Declare a model and the service whose engines may load it."""

    name: str
    service: str
    version: str
    bytes: int
    adapters: list[AdapterDocument]


class TargetDocument(TypedDict):
    """Declare a target; a model is split evenly over its accelerators."""

    name: str
    data_centre: str
    address: str
    accelerators: int
    accelerator_memory_bytes: int


class ServiceDocument(TypedDict):
    """Declare a service and its targets.

    ``kind`` is ``engine`` or ``plain``. ``checks_fence`` states whether
    the targets refuse orders with an outdated fencing token.
    """

    name: str
    kind: str
    checks_fence: bool
    idempotent_paths: list[str]
    targets: list[TargetDocument]


class CallerDocument(TypedDict):
    """Declare a caller; ``*`` in models or services means all of them.

    ``key_digests`` holds ``sha256:<hex>`` of each accepted key; a caller
    has two digests while a key is rotated.
    """

    name: str
    key_digests: list[str]
    models: list[str]
    services: list[str]
    weight: NotRequired[int]


class Match(TypedDict, total=False):
    """Select what an exception applies to; all given keys must match."""

    model: str
    service: str
    target: str
    data_centre: str
    caller: str


class ExceptionDocument(TypedDict):
    """Declare an exception to the defaults and its reason."""

    name: str
    match: Match
    set: Policy
    reason: str
    owner: str


class DeclarationsDocument(TypedDict):
    """Hold all declarations of a deployment, as stored in the object API."""

    fleet: FleetDocument
    models: list[ModelDocument]
    services: list[ServiceDocument]
    callers: list[CallerDocument]
    exceptions: list[ExceptionDocument]


class ConfigurationDocument(TypedDict):
    """Hold the accepted configuration, object ``configuration/current``.

    ``recent_tokens`` are those of the latest accepted changes, newest last. An
    operator whose response was lost finds its change there, even if another
    one has been accepted since.
    """

    generation: int
    token: str
    author: str
    accepted_at: float
    declarations: DeclarationsDocument
    recent_tokens: NotRequired[list[str]]
