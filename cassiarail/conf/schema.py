"""Define the schemas of the settings files.

Addresses are ``IP:port``. Durations are seconds and sizes are bytes.
"""

from typing import NotRequired

from typing_extensions import TypedDict


class ListenerSettings(TypedDict):
    """Configure a listener.

    The certificate and the private key together enable TLS.
    """

    address: str
    certificate_file: NotRequired[str]
    private_key_file: NotRequired[str]
    client_ca_file: NotRequired[str]


class TelemetrySettings(TypedDict, total=False):
    """Configure logs and traces."""

    log_level: str
    trace_file: str
    trace_otlp_endpoint: str
    trace_sample_share: float


class CallerLimits(TypedDict, total=False):
    """Limit the requests of callers, and all that they make a process keep.

    ``memory_bytes`` limits the bodies of requests in progress and the
    responses that callers don't read, ``connections_max`` the connections.
    """

    body_max_bytes: int
    headers_max_bytes: int
    body_timeout_s: float
    keep_alive_s: float
    memory_bytes: int
    connections_max: int


class PeerSettings(TypedDict):
    """Name a controller and the address of its listener for peers."""

    name: str
    address: str


class GatewaySettings(TypedDict):
    """Configure a gateway.

    The first entry of ``controllers`` is the one on the gateway's own host.
    """

    name: str
    host: str
    data_centre: str
    callers: ListenerSettings
    operators: ListenerSettings
    controllers: list[PeerSettings]
    object_api: str
    peer_secret_file: str
    limits: NotRequired[CallerLimits]
    telemetry: NotRequired[TelemetrySettings]
    drain_timeout_s: NotRequired[float]


class ControllerSettings(TypedDict):
    """Configure a controller."""

    name: str
    host: str
    data_centre: str
    peers_listener: ListenerSettings
    operators: ListenerSettings
    peers: list[PeerSettings]
    object_api: str
    host_list: str
    peer_secret_file: str
    lease_duration_s: NotRequired[float]
    planning_interval_s: NotRequired[float]
    telemetry: NotRequired[TelemetrySettings]


class OperatorSettings(TypedDict):
    """Configure ``cassiarail-ctl``.

    ``controllers`` holds the addresses of their listeners for operators.
    """

    object_api: str
    controllers: list[PeerSettings]
