"""Add up the demand that all hosts report."""

import collections
from collections.abc import Iterable
from typing import NamedTuple

from cassiarail.core.clock import Clock
from cassiarail.edge.demand import Demand
from cassiarail.edge.messages import DemandRow, Digest
from cassiarail.edge.targets import Want
from cassiarail.edge.waiting import WaitingRequests
from cassiarail.placement.fleet import (
    ModelDemand,
)

# Reports come twice a second; one that is older is of a host that is gone.
_REPORT_LIFE_S = 2.0
_DEMAND_WINDOW_S = 3.0


class _Report(NamedTuple):
    """Hold a host's last report."""

    received_at: float
    rows: tuple[DemandRow, ...]


class FleetDemand:
    """Keep the last report of each host and when things were asked for."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._reports: dict[str, _Report] = {}
        self._asked_at: dict[tuple[str, Want], float] = {}
        self._objectives: dict[tuple[str, str], float] = {}
        self._begun_at = clock.monotonic()

    def take(self, digest: Digest) -> None:
        """Take a host's report."""
        now = self._clock.monotonic()
        self._reports[digest.host] = _Report(now, tuple(digest.demand))
        if not self._asked_at:
            self._begun_at = now
        for row in digest.demand:
            if row.asked or row.waiting:
                want = Want(row.model, row.adapter)
                self._asked_at[(row.service, want)] = now
            if row.asked:
                self._objectives[(row.service, row.model)] = row.objective_s

    def of_models(self, service: str) -> dict[str, ModelDemand]:
        """Return the demand for each model of a service."""
        now = self._clock.monotonic()
        counts: dict[str, collections.Counter[str]] = {}
        objectives = self._objectives_of(service)
        for row in self._rows(service):
            count = counts.setdefault(row.model, collections.Counter())
            count['asked'] += row.asked
            count['in_flight'] += max(0, row.in_flight - row.waiting)
            count['waiting'] += row.waiting + row.refused
            if row.adapter:
                count['adapter'] += row.asked
        idle: dict[str, float] = {}
        for (each, want), asked_at in self._asked_at.items():
            if each != service:
                continue
            age = now - asked_at
            idle[want.model] = min(age, idle.get(want.model, age))
        return {
            model: ModelDemand(
                counts.get(model, _NONE)['asked'] / _DEMAND_WINDOW_S,
                counts.get(model, _NONE)['in_flight'],
                counts.get(model, _NONE)['waiting'],
                idle_s,
                counts.get(model, _NONE)['adapter'] / _DEMAND_WINDOW_S,
                objectives.get(model, 0),
            )
            for model, idle_s in idle.items()
        }

    def _objectives_of(self, service: str) -> dict[str, float]:
        """Return the shortest recent objective for each model, or the last."""
        found = {
            model: objective_s
            for (each, model), objective_s in self._objectives.items()
            if each == service
        }
        shortest: dict[str, float] = {}
        for row in self._rows(service):
            if row.asked:
                known = shortest.get(row.model, row.objective_s)
                shortest[row.model] = min(known, row.objective_s)
        return {**found, **shortest}

    def unasked_s(self) -> float:
        """Return how long demand has been known; models age from there."""
        if not self._asked_at:
            return 0
        return self._clock.monotonic() - self._begun_at

    def waiting_adapters(self, service: str) -> dict[tuple[str, str], int]:
        """Return how many requests wait for each adapter."""
        waiting: collections.Counter[tuple[str, str]] = collections.Counter()
        for row in self._rows(service):
            if row.adapter and row.waiting:
                waiting[(row.model, row.adapter)] += row.waiting
        return dict(waiting)

    def adapter_idle(self, service: str) -> dict[tuple[str, str], float]:
        """Return how long ago each adapter was asked for."""
        now = self._clock.monotonic()
        return {
            (want.model, want.adapter): now - asked_at
            for (each, want), asked_at in self._asked_at.items()
            if each == service and want.adapter
        }

    def _rows(self, service: str) -> Iterable[DemandRow]:
        oldest = self._clock.monotonic() - _REPORT_LIFE_S
        for report in self._reports.values():
            if report.received_at < oldest:
                continue
            for row in report.rows:
                if row.service == service:
                    yield row


_NONE: collections.Counter[str] = collections.Counter()


def list_rows(
    demand: Iterable[Demand],
    waits: Iterable[WaitingRequests],
) -> list[DemandRow]:
    """Return this host's demand as rows of a report."""
    waiting = {(each.service, each.variant): each.waiting for each in waits}
    rows = []
    for each in demand:
        key = (each.service, each.want)
        rows.append(
            DemandRow(
                each.service,
                each.want.model,
                each.want.adapter,
                each.asked,
                each.in_flight,
                waiting.get(key, 0),
                each.refused,
                each.objective_s,
            ),
        )
    return rows
