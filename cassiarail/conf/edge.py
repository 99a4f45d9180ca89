"""Load the settings of ``cassiarail-edge``.

The checks need no validation library: each process of a fleet reads its
settings at every start and pays for what it imports in memory.
"""

import pathlib

import msgspec
from typing_extensions import TypedDict

from cassiarail.conf.files import RejectedSettingsError, read_json
from cassiarail.core.checks import CheckMessage
from cassiarail.http1.pool import Address


class EndpointSettings(TypedDict):
    """Configure a listener that answers one path."""

    address: str
    path: str


class RegistrySettings(TypedDict):
    """Name the objects of the store that others write.

    ``targets`` is the kind of the targets' entries; the configuration is the
    object ``configuration_name`` of the kind ``configuration``. Targets write
    their entries anew every ``heartbeat_s`` seconds.
    """

    targets: str
    configuration: str
    configuration_name: str
    heartbeat_s: float


class BoundSettings(TypedDict):
    """Hold the figures that the operators promise; times are seconds.

    ``lease_s`` passes between orders of two holders. ``retry_ratio`` and
    ``retry_slack`` bound the repeats of all hosts to a service in
    ``retry_window_s``. ``loads_window_s`` is the window of the weight
    store's rate, ``stop_s`` the time from a stop signal to the kill.
    """

    lease_s: float
    loads_window_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    stop_s: float


class EdgeSettings(TypedDict):
    """Configure one process of ``cassiarail-edge``.

    ``link_mbps`` is the rate of the host's network link in Mbit/s; a quarter
    of it at most goes to other hosts.
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


_ADDRESSES = ('callers', 'peers', 'object_api')
_QUESTIONS = ('readiness', 'metrics')


def load_edge_settings(path: pathlib.Path) -> EdgeSettings:
    """Return the settings; raise ``RejectedSettingsError``."""
    document = read_json(path)
    try:
        settings = msgspec.convert(document, EdgeSettings)
    except msgspec.ValidationError as error:
        problem = CheckMessage('S001', '$', str(error))
        raise RejectedSettingsError(str(path), [problem]) from error
    problems = _check(settings)
    if problems:
        raise RejectedSettingsError(str(path), problems)
    return settings


def _check(settings: EdgeSettings) -> list[CheckMessage]:
    addresses = {name: settings[name] for name in _ADDRESSES}  # type: ignore[literal-required]
    for name in _QUESTIONS:
        addresses[f'{name}.address'] = settings[name]['address']  # type: ignore[literal-required]
    problems = []
    for name, text in addresses.items():
        try:
            Address.parse(text)
        except ValueError:
            message = f'not an IP number and a port: {text!r}'
            problems.append(CheckMessage('S010', f'$.{name}', message))
    if settings['link_mbps'] <= 0:
        message = 'has to be positive'
        problems.append(CheckMessage('S011', '$.link_mbps', message))
    if settings['registry']['heartbeat_s'] <= 0:
        message = 'has to be positive'
        problems.append(CheckMessage('S011', '$.registry.heartbeat_s', message))
    problems.extend(
        CheckMessage('S011', f'$.bounds.{name}', 'has to be positive')
        for name, figure in settings['bounds'].items()
        if isinstance(figure, float | int) and figure < 0
    )
    return problems
