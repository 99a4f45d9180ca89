"""Simulate the host list and its lag (docs/design.md, section 4.5)."""

import collections
from typing import NamedTuple

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route, Router

from cassiarail.core.clock import Clock
from cassiarail.standins import responses
from cassiarail.standins.faults import ActiveFaults, FaultName

LIVE = 'live'
LEAVING = 'leaving'


class HostEntry(NamedTuple):
    """Describe a host; ``role`` is ``entry`` or ``target``."""

    name: str
    data_centre: str
    address: str
    role: str
    service: str = ''
    state: str = LIVE


class _Change(NamedTuple):
    changed_at: float
    name: str
    entry: HostEntry | None


class HostList:
    """Serve the list of hosts as it was some seconds ago."""

    def __init__(
        self,
        clock: Clock,
        faults: ActiveFaults,
        lag_s: float = 2,
    ) -> None:
        """Create a list; the fault ``host_list_lag`` adds to ``lag_s``."""
        self._clock = clock
        self._faults = faults
        self._lag_s = lag_s
        self._current: dict[str, HostEntry] = {}
        self._visible: dict[str, HostEntry] = {}
        self._pending: collections.deque[_Change] = collections.deque()
        self.application = Router(
            routes=[Route('/hosts', self._list_hosts)],
        )

    def publish(self, entry: HostEntry) -> None:
        """Add a host without lag, as at the start of a scenario."""
        self._current[entry.name] = entry
        self._visible[entry.name] = entry

    def change(self, entry: HostEntry) -> None:
        """Add or change a host; callers see it after the lag."""
        self._current[entry.name] = entry
        now = self._clock.monotonic()
        self._pending.append(_Change(now, entry.name, entry))

    def set_state(self, name: str, state: str) -> None:
        """Change the state of a host."""
        self.change(self._current[name]._replace(state=state))

    def remove(self, name: str) -> None:
        """Remove a host; callers see it after the lag."""
        self._current.pop(name, None)
        now = self._clock.monotonic()
        self._pending.append(_Change(now, name, None))

    def list_visible(self) -> list[HostEntry]:
        """Return the hosts that callers see now."""
        lag_s = self._lag_s + self._faults.get_delay_s(FaultName.HOST_LIST_LAG)
        cutoff = self._clock.monotonic() - lag_s
        while self._pending and self._pending[0].changed_at <= cutoff:
            change = self._pending.popleft()
            if change.entry is None:
                self._visible.pop(change.name, None)
            else:
                self._visible[change.name] = change.entry
        return list(self._visible.values())

    async def _list_hosts(self, request: Request) -> Response:
        entries = [
            {key: field for key, field in entry._asdict().items() if field}
            for entry in self.list_visible()
        ]
        return responses.build_json_response({'hosts': entries})
