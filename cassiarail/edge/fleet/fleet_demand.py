"""Add up the demand that all hosts report."""

import collections
from collections.abc import Iterable
from typing import NamedTuple

from cassiarail.core.clock import Clock
from cassiarail.edge.fleet.demand import Demand
from cassiarail.edge.fleet.messages import DemandReport, DemandRow
from cassiarail.edge.registry.targets import ModelVariant
from cassiarail.edge.requests.waiting import WaitingRequests
from cassiarail.placement.fleet import ModelDemand

# Reports arrive twice a second. A host whose last report is older than this has
# stopped.
_REPORT_TTL_S = 2.0
_DEMAND_WINDOW_S = 3.0


class _HostReport(NamedTuple):
    """Hold a host's last report."""

    received_at: float
    rows: tuple[DemandRow, ...]


class FleetDemand:
    """Store each host's last report and the times of the last requests."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._reports: dict[str, _HostReport] = {}
        self._requested_at: dict[tuple[str, ModelVariant], float] = {}
        self._objectives: dict[tuple[str, str], float] = {}
        self._first_request_at = clock.monotonic()

    def record_report(self, report: DemandReport) -> None:
        """Store a host's report."""
        now = self._clock.monotonic()
        self._reports[report.host] = _HostReport(now, tuple(report.demand))
        if not self._requested_at:
            self._first_request_at = now
        for row in report.demand:
            if row.asked or row.waiting:
                variant = ModelVariant(row.model, row.adapter)
                self._requested_at[(row.service, variant)] = now
            if row.asked:
                self._objectives[(row.service, row.model)] = row.objective_s

    def count_present(self, within_s: float) -> int:
        """Return the number of hosts that reported within a time."""
        oldest = self._clock.monotonic() - within_s
        return sum(
            report.received_at >= oldest for report in self._reports.values()
        )

    def summarize_models(self, service: str) -> dict[str, ModelDemand]:
        """Return the demand for each model of a service."""
        now = self._clock.monotonic()
        counts: dict[str, collections.Counter[str]] = {}
        objectives = self._shortest_objectives(service)
        for row in self._current_rows(service):
            count = counts.setdefault(row.model, collections.Counter())
            count['asked'] += row.asked
            count['in_flight'] += max(0, row.in_flight - row.waiting)
            count['waiting'] += row.waiting + row.refused
            if row.adapter:
                count['adapter'] += row.asked
        idle: dict[str, float] = {}
        for (each, variant), requested_at in self._requested_at.items():
            if each != service:
                continue
            age = now - requested_at
            idle[variant.model] = min(age, idle.get(variant.model, age))
        return {
            model: ModelDemand(
                counts.get(model, _NO_COUNTS)['asked'] / _DEMAND_WINDOW_S,
                counts.get(model, _NO_COUNTS)['in_flight'],
                counts.get(model, _NO_COUNTS)['waiting'],
                idle_s,
                counts.get(model, _NO_COUNTS)['adapter'] / _DEMAND_WINDOW_S,
                objectives.get(model, 0),
            )
            for model, idle_s in idle.items()
        }

    def _shortest_objectives(self, service: str) -> dict[str, float]:
        """Return the shortest recent objective for each model, or the last."""
        last = {
            model: objective_s
            for (each, model), objective_s in self._objectives.items()
            if each == service
        }
        shortest: dict[str, float] = {}
        for row in self._current_rows(service):
            if row.asked:
                known = shortest.get(row.model, row.objective_s)
                shortest[row.model] = min(known, row.objective_s)
        return {**last, **shortest}

    def observed_s(self) -> float:
        """Return for how long there has been demand.

        The idle time of a model that was never requested counts from there.
        """
        if not self._requested_at:
            return 0
        return self._clock.monotonic() - self._first_request_at

    def count_waiting_by_adapter(
        self, service: str
    ) -> dict[tuple[str, str], int]:
        """Return how many requests wait for each adapter."""
        waiting: collections.Counter[tuple[str, str]] = collections.Counter()
        for row in self._current_rows(service):
            if row.adapter and row.waiting:
                waiting[(row.model, row.adapter)] += row.waiting
        return dict(waiting)

    def adapter_idle_s(self, service: str) -> dict[tuple[str, str], float]:
        """Return the seconds since the last request for each adapter."""
        now = self._clock.monotonic()
        return {
            (variant.model, variant.adapter): now - requested_at
            for (each, variant), requested_at in self._requested_at.items()
            if each == service and variant.adapter
        }

    def _current_rows(self, service: str) -> Iterable[DemandRow]:
        oldest = self._clock.monotonic() - _REPORT_TTL_S
        for report in self._reports.values():
            if report.received_at < oldest:
                continue
            for row in report.rows:
                if row.service == service:
                    yield row


_NO_COUNTS: collections.Counter[str] = collections.Counter()


def build_demand_rows(
    demand: Iterable[Demand],
    waits: Iterable[WaitingRequests],
) -> list[DemandRow]:
    """Return this host's demand as rows of a report."""
    waiting = {(each.service, each.variant): each.waiting for each in waits}
    rows = []
    for each in demand:
        key = (each.service, each.variant)
        rows.append(
            DemandRow(
                each.service,
                each.variant.model,
                each.variant.adapter,
                each.requested,
                each.in_flight,
                waiting.get(key, 0),
                each.refused,
                each.objective_s,
            ),
        )
    return rows
