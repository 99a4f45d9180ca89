"""Load the settings of ``cassiarail-edge``.

The checks use no validation library: every process of a fleet reads its
settings at each start, and each imported library adds to its memory use.
"""

import pathlib
from typing import NotRequired

import msgspec
from typing_extensions import TypedDict

from cassiarail.conf.files import RejectedSettingsError, read_json
from cassiarail.conf.global_defaults import CALLER_CONNECTIONS_MAX
from cassiarail.core.checks import CheckMessage
from cassiarail.http1.pool import Address
from cassiarail.limits.quota_bounds import DEFAULT_RULES, QuotaRules
from cassiarail.limits.shared_budget import BudgetRules


class EndpointSettings(TypedDict):
    """Configure a listener that serves one path."""

    address: str
    path: str


class RegistrySettings(TypedDict):
    """Name the store's objects that are written by other systems.

    ``targets`` is the kind of the targets' entries; the configuration is the
    object ``configuration_name`` of the kind ``configuration``. Targets
    rewrite their entries every ``heartbeat_s`` seconds.
    """

    targets: str
    configuration: str
    configuration_name: str
    heartbeat_s: float


class BoundSettings(TypedDict):
    """Define the bounds that the operators guarantee; times are seconds.

    At least ``lease_s`` passes between the orders of two lease holders.
    ``retry_ratio`` and ``retry_slack`` limit the retries of all hosts to a
    service within ``retry_window_s``. ``loads_window_s`` is the window of the
    weight store's rate limit, and ``stop_s`` the time between the stop signal
    and the kill.

    Over any ``quota_window_s``, the use of a client account may exceed its
    quota by the share ``quota_excess`` and ``quota_slack`` units.
    """

    lease_s: float
    loads_window_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    stop_s: float
    quota_window_s: NotRequired[float]
    quota_excess: NotRequired[float]
    quota_slack: NotRequired[float]


class EdgeSettings(TypedDict):
    """Configure one process of ``cassiarail-edge``.

    ``link_mbps`` is the bandwidth of the host's network link in Mbit/s; at
    most a quarter of it is used for traffic to other hosts.
    ``response_memory_bytes`` limits the responses that are kept until they are
    complete, ``client_memory_bytes`` the bodies of requests and what callers
    don't read; the defaults are in ``global_defaults``. ``descriptors`` is what
    the process may have open; callers' connections use a part of them.
    """

    name: str
    data_centre: str
    callers: str
    readiness: EndpointSettings
    metrics: EndpointSettings
    peers: str
    object_api: str
    registry: RegistrySettings
    bounds: BoundSettings
    link_mbps: float
    response_memory_bytes: NotRequired[int]
    client_memory_bytes: NotRequired[int]
    descriptors: NotRequired[int]


_ADDRESS_KEYS = ('callers', 'peers', 'object_api')
_COUNT_KEYS = ('response_memory_bytes', 'client_memory_bytes', 'descriptors')
# Targets, peers, the store, logs and the other listeners use the rest.
_CALLER_DESCRIPTOR_SHARE = 0.7
_ENDPOINT_KEYS = ('readiness', 'metrics')


def load_edge_settings(path: pathlib.Path) -> EdgeSettings:
    """Return the settings; raise ``RejectedSettingsError`` if invalid."""
    document = read_json(path)
    try:
        settings = msgspec.convert(document, EdgeSettings)
    except msgspec.ValidationError as error:
        problem = CheckMessage('S001', '$', str(error))
        raise RejectedSettingsError(str(path), [problem]) from error
    problems = _check_values(settings)
    if problems:
        raise RejectedSettingsError(str(path), problems)
    return settings


def read_retry_rules(settings: EdgeSettings) -> BudgetRules:
    """Return the limits of the retry budget."""
    bounds = settings['bounds']
    return BudgetRules(
        bounds['retry_ratio'],
        bounds['retry_slack'],
        bounds['retry_window_s'],
    )


def read_quota_rules(settings: EdgeSettings) -> QuotaRules:
    """Return how the use of client accounts is measured."""
    bounds = settings['bounds']
    return QuotaRules(
        bounds.get('quota_window_s', DEFAULT_RULES.window_s),
        bounds.get('quota_excess', DEFAULT_RULES.excess),
        bounds.get('quota_slack', DEFAULT_RULES.slack),
    )


def compute_connections_max(settings: EdgeSettings) -> int:
    """Return how many connections callers may have open."""
    descriptors = settings.get('descriptors')
    if descriptors is None:
        return CALLER_CONNECTIONS_MAX
    share = int(descriptors * _CALLER_DESCRIPTOR_SHARE)
    return min(CALLER_CONNECTIONS_MAX, share)


def _check_values(settings: EdgeSettings) -> list[CheckMessage]:
    addresses = {name: settings[name] for name in _ADDRESS_KEYS}  # type: ignore[literal-required]
    for name in _ENDPOINT_KEYS:
        addresses[f'{name}.address'] = settings[name]['address']  # type: ignore[literal-required]
    problems = []
    for name, text in addresses.items():
        try:
            Address.parse(text)
        except ValueError:
            message = f'not an IP address and a port: {text!r}'
            problems.append(CheckMessage('S010', f'$.{name}', message))
    if settings['link_mbps'] <= 0:
        message = 'must be positive'
        problems.append(CheckMessage('S011', '$.link_mbps', message))
    problems.extend(
        CheckMessage('S011', f'$.{name}', 'must not be negative')
        for name in _COUNT_KEYS
        if settings.get(name, 0) < 0  # type: ignore[operator]
    )
    if settings['registry']['heartbeat_s'] <= 0:
        message = 'must be positive'
        problems.append(CheckMessage('S011', '$.registry.heartbeat_s', message))
    problems.extend(
        CheckMessage('S011', f'$.bounds.{name}', 'must not be negative')
        for name, bound in settings['bounds'].items()
        if isinstance(bound, float | int) and bound < 0
    )
    return problems
