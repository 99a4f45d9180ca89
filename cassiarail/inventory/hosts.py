"""Read the host list of the platform, which lags behind changes."""

import enum
import random
from collections.abc import Sequence
from typing import NamedTuple, NotRequired

import httpx
import msgspec
from typing_extensions import TypedDict

from cassiarail.core.checks import has_errors
from cassiarail.core.clock import Clock
from cassiarail.core.events import emit_event
from cassiarail.core.lifecycle import Component
from cassiarail.core.validation import CheckIds, DocumentChecker
from cassiarail.inventory.events import HOST_LIST_CHANGED, HOST_LIST_FAILED
from cassiarail.inventory.exceptions import PlatformError

_TIMEOUT_S = 2.0
# The list lags by more than this; targets and peers report changes sooner.
_REFRESH_INTERVAL_S = 10.0


class HostRole(enum.Enum):
    """Distinguish the hosts of this system from target hosts."""

    ENTRY = 'entry'
    TARGET = 'target'


class Host(NamedTuple):
    """Entry of the host list."""

    name: str
    data_centre: str
    address: str
    role: HostRole
    service: str = ''
    leaving: bool = False


class _HostDocument(TypedDict):
    """Entry of the host list in JSON."""

    name: str
    data_centre: str
    address: str
    role: str
    state: str
    service: NotRequired[str | None]


class _HostsDocument(TypedDict):
    """Host list in JSON."""

    hosts: list[_HostDocument]


_CHECKER = DocumentChecker(
    _HostsDocument,
    CheckIds(wrong_type='H001', unknown_key='H002', missing_key='H003'),
)


class HostListClient:
    """Read the host list over HTTP."""

    def __init__(
        self,
        base_url: str,
        transport: httpx.AsyncBaseTransport,
    ) -> None:
        """Create the client; tests can pass a transport without sockets."""
        self._client = httpx.AsyncClient(
            base_url=base_url,
            transport=transport,
            timeout=_TIMEOUT_S,
        )

    async def list_hosts(self) -> list[Host]:
        """Return all hosts; raise ``PlatformError`` on an invalid response."""
        try:
            response = await self._client.get('/hosts')
        except httpx.HTTPError as error:
            raise PlatformError(f'host list: {error!r}') from error
        if response.status_code != httpx.codes.OK:
            raise PlatformError(f'host list: status {response.status_code}')
        return _parse_hosts(response.content)

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.aclose()


class HostDirectory(Component):
    """Store the last host list and provide the addresses of controllers.

    An empty or missing list never removes a peer: settings define peers, too,
    and live members remain known by their heartbeats.
    """

    name = 'hosts'

    def __init__(
        self,
        client: HostListClient,
        data_centre: str,
        peer_port: int,
        settings_peers: Sequence[str],
        clock: Clock,
        generator: random.Random | None = None,
    ) -> None:
        """Set the port on which controllers serve peers on every host."""
        self._client = client
        self._data_centre = data_centre
        self._peer_port = peer_port
        self._settings_peers = tuple(settings_peers)
        self._clock = clock
        self._generator = generator or random.Random()
        self.hosts: list[Host] = []

    async def run(self) -> None:
        """Read the list regularly until cancelled."""
        while True:
            await self.refresh()
            await self._clock.sleep(
                self._generator.uniform(
                    _REFRESH_INTERVAL_S / 2, _REFRESH_INTERVAL_S
                ),
            )

    async def stop(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def refresh(self) -> None:
        """Read the list once; retain the last one on failure."""
        try:
            hosts = await self._client.list_hosts()
        except PlatformError as error:
            emit_event(HOST_LIST_FAILED, error=error.message)
            return
        if hosts != self.hosts:
            emit_event(HOST_LIST_CHANGED, hosts=len(hosts))
        self.hosts = hosts

    def list_peers(self) -> list[str]:
        """Return the controller addresses of this data centre."""
        listed = [
            f'{_strip_port(host.address)}:{self._peer_port}'
            for host in self.hosts
            if host.role is HostRole.ENTRY
            and host.data_centre == self._data_centre
        ]
        return list(dict.fromkeys((*self._settings_peers, *listed)))

    def list_targets(self) -> list[Host]:
        """Return the target hosts of this data centre."""
        return [
            host
            for host in self.hosts
            if host.role is HostRole.TARGET
            and host.data_centre == self._data_centre
        ]


def _parse_hosts(content_bytes: bytes) -> list[Host]:
    try:
        document = msgspec.json.decode(content_bytes)
    except msgspec.DecodeError as error:
        raise PlatformError('host list: not JSON') from error
    problems = _CHECKER.check(document)
    if has_errors(problems):
        raise PlatformError(f'host list: {problems[0].format_line()}')
    try:
        return [_build_host(entry) for entry in document['hosts']]
    except ValueError as error:
        raise PlatformError(f'host list: {error}') from error


def _build_host(entry: _HostDocument) -> Host:
    return Host(
        name=entry['name'],
        data_centre=entry['data_centre'],
        address=entry['address'],
        role=HostRole(entry['role']),
        service=entry.get('service') or '',
        leaving=entry['state'] == 'leaving',
    )


def _strip_port(address: str) -> str:
    """Return an address without its port; IPv6 addresses keep brackets."""
    host, colon, port = address.rpartition(':')
    return host if colon and port.isdigit() else address
