"""Share the loads that targets report between the hosts.

In a large fleet, a host sends each target too few requests to know its queue.
Hosts report the newest loads that they were sent to the leader, which repeats
those of all hosts in its regular updates.
"""

import heapq
import math
from collections.abc import Callable, Iterable
from typing import NamedTuple

from cassiarail.core.clock import Clock
from cassiarail.edge.fleet.messages import LoadRow

_MS = 1000
# Older loads say little: requests take about a second.
_MAX_AGE_S = 1.5
# Rows of an update; the newest, so that a datagram stays below 5 kB.
_MAX_ROWS = 256

OnLoad = Callable[[str, int, float], None]


class _KnownLoad(NamedTuple):
    """Hold the requests at a target, and when it reported them."""

    requests: int
    reported_at: float


def _ignore_load(_instance: str, _requests: int, _age_s: float) -> None:
    """Ignore loads until a listener is set."""


class LoadExchange:
    """Keep the newest load of each target."""

    def __init__(self, clock: Clock) -> None:
        """Call ``on_load`` with each newer load of another host.

        It is given the target's instance, its requests and the age in seconds.
        """
        self.on_load: OnLoad = _ignore_load
        self._clock = clock
        self._known: dict[str, _KnownLoad] = {}
        self._unsent: set[str] = set()

    def record(self, instance: str, requests: int) -> None:
        """Record a load that a target reported to this host."""
        self._known[instance] = _KnownLoad(requests, self._clock.monotonic())
        self._unsent.add(instance)

    def receive(self, rows: Iterable[LoadRow]) -> None:
        """Record the loads that another host has sent."""
        now = self._clock.monotonic()
        for row in rows:
            age_s = max(0, row.age_ms) / _MS
            known = self._known.get(row.instance)
            if known is not None and known.reported_at >= now - age_s:
                continue
            self._known[row.instance] = _KnownLoad(row.requests, now - age_s)
            self.on_load(row.instance, row.requests, age_s)

    def list_own(self) -> list[LoadRow]:
        """Return the loads that were reported to this host since last time."""
        rows = self._list_recent(self._unsent)
        self._unsent.clear()
        return rows

    def list_all(self) -> list[LoadRow]:
        """Return the newest loads of all targets, and forget old ones."""
        rows = self._list_recent(self._known)
        recent = {row.instance for row in rows}
        self._known = {
            instance: known
            for instance, known in self._known.items()
            if instance in recent
        }
        return heapq.nsmallest(_MAX_ROWS, rows, key=lambda row: row.age_ms)

    def _list_recent(self, instances: Iterable[str]) -> list[LoadRow]:
        now = self._clock.monotonic()
        rows = []
        for instance in instances:
            known = self._known.get(instance)
            if known is None or now - known.reported_at > _MAX_AGE_S:
                continue
            age_ms = math.ceil((now - known.reported_at) * _MS)
            rows.append(LoadRow(instance, known.requests, age_ms))
        return rows
