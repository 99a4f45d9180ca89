"""Plan placements and send orders to the engines while holding the lease."""

import asyncio
import collections
from collections.abc import Callable, Coroutine, Mapping
from typing import NamedTuple

import anyio

from cassiarail.core.clock import Clock
from cassiarail.core.lifecycle import Component
from cassiarail.edge.engines.orders import LoadBudget, OrderSender
from cassiarail.edge.engines.records import (
    ADAPTER_READY_S,
    EngineRecord,
    EngineRecords,
)
from cassiarail.edge.fleet.election import LeaderElection
from cassiarail.edge.fleet.fleet_demand import FleetDemand
from cassiarail.edge.fleet.messages import EngineRow, ExpectedRow
from cassiarail.edge.registry.configuration import (
    CurrentConfiguration,
    EngineType,
)
from cassiarail.edge.registry.targets import Target, TargetDirectory
from cassiarail.placement.fleet import Fleet, ModelFacts, Step
from cassiarail.placement.ondemand import plan_steps
from cassiarail.routing.reachability import ReachabilityTracker
from cassiarail.store.leases import is_first_fence

_TICK_S = 0.1
# Traffic begins 12 s or more after the hosts are started for the first time,
# as the data sheets of the deployments say.
_FIRST_TRAFFIC_S = 11.0
# Each demand report of a host triggers planning. With 85 hosts and 45 engines
# that is 170 plans a second of 10 ms each. Pausing three times as long as a
# plan takes limits planning to a quarter of a core; callers get the remainder.
_PAUSE_PER_PLAN = 3.0
# A report is requested if an engine's entry doesn't show the end of a load or
# an unload this long after it was due.
_OVERDUE_S = 1.5


class LeaderParts(NamedTuple):
    """Hold the collaborators of the placement leader."""

    election: LeaderElection
    sender: OrderSender
    directory: TargetDirectory
    configuration: CurrentConfiguration
    demand: FleetDemand
    budget: LoadBudget
    reachability: ReachabilityTracker
    publish: Callable[[], None]


class PlacementLeader(Component):
    """Plan and send orders while this host holds the lease."""

    name = 'order holder'

    def __init__(self, parts: LeaderParts, clock: Clock) -> None:
        self._parts = parts
        self._clock = clock
        self._started_at = clock.monotonic()
        self._records = EngineRecords(clock)
        self._initial_models: dict[tuple[str, int], frozenset[str]] = {}
        self._wake_event = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def is_leader(self) -> bool:
        """Return whether this host holds the lease."""
        return self._parts.election.is_held()

    def wake(self) -> None:
        """Trigger planning."""
        self._wake_event.set()

    def begin(self) -> None:
        """Begin a term by learning what the engines hold."""
        self._records.clear()
        self.wake()

    def end(self) -> None:
        """Cancel all orders in progress at the end of a term."""
        for task in self._tasks:
            task.cancel()

    async def run(self) -> None:
        """Plan until cancelled."""
        while True:
            if self.is_leader:
                self._wake_event.clear()
                started_at = self._clock.monotonic()
                self._plan()
                plan_s = self._clock.monotonic() - started_at
                await self._clock.sleep(plan_s * _PAUSE_PER_PLAN)
                with anyio.move_on_after(_TICK_S):
                    await self._wake_event.wait()
            else:
                await self._clock.sleep(_TICK_S)

    def list_engine_rows(self) -> list[EngineRow]:
        """Return the holdings of the engines, for the other hosts.

        An engine that was not queried yet is left out.
        """
        return [
            EngineRow(
                record.target.instance,
                record.target.born_ms,
                record.holdings.order_count,
                {
                    model: sorted(adapters)
                    for model, adapters in record.holdings.models.items()
                },
                self._parts.election.idle_s(record.target.instance),
            )
            for record in self._records
            if not record.needs_report or record.holdings.order_count
        ]

    def list_expected(self) -> list[ExpectedRow]:
        """Return the models that are being loaded."""
        now = self._clock.monotonic()
        return [
            ExpectedRow(
                record.target.service,
                record.loading.model,
                max(0, record.ready_at - now),
            )
            for record in self._records
            if record.loading is not None
        ]

    def _plan(self) -> None:
        now = self._clock.monotonic()
        engines = self._list_engines()
        self._records.update(engines)
        self._initial_models = {
            engine.identity: self._initial_models.get(
                engine.identity,
                frozenset(engine.holdings.models),
            )
            for engine in engines
        }
        for record in self._records:
            record.check_overdue(now, _OVERDUE_S)
            may_order = self._parts.election.may_order(record.target.instance)
            if may_order and record.is_report_due(now):
                self._start(record, self._read_report(record))
        for service, engine in self._list_services():
            models = describe_models(engine)
            for record in self._records:
                if record.target.service == service:
                    record.record_sizes(models)
            for step in plan_steps(
                self._describe_fleet(service, engine, models)
            ):
                self._begin_step(step, models)

    def _begin_step(self, step: Step, models: Mapping[str, ModelFacts]) -> None:
        record = next(
            each
            for each in self._records
            if each.target.instance == step.engine
        )
        may_order = self._parts.election.may_order(step.engine)
        if record.is_busy or not may_order:
            return
        if step.is_store_load:
            self._parts.budget.record()
        if step.is_load:
            record.record_sizes(models, step.model)
        self._start(record, self._send_order(record, step))

    def _start(
        self,
        record: EngineRecord,
        call: Coroutine[None, None, None],
    ) -> None:
        record.has_call_in_flight = True
        task = asyncio.create_task(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_order(self, record: EngineRecord, step: Step) -> None:
        try:
            is_accepted = await self._parts.sender.send(
                record,
                step,
                self._parts.election.holder,
                self._parts.election.fence,
                lambda: self._begin_order(step.engine),
            )
            if is_accepted and step.adapter and step.is_load:
                await self._clock.sleep(ADAPTER_READY_S)
        finally:
            record.has_call_in_flight = False
        self._publish(record)

    def _begin_order(self, instance: str) -> bool:
        """Return whether an order may be sent now, and record it then."""
        may_order = self._parts.election.may_order(instance)
        if may_order:
            self._parts.election.record_order(instance)
        return may_order

    async def _read_report(self, record: EngineRecord) -> None:
        try:
            await self._parts.sender.read_report(record)
        finally:
            record.has_call_in_flight = False
        self._publish(record)

    def _publish(self, record: EngineRecord) -> None:
        self._parts.directory.update_holdings(
            record.target.identity,
            record.holdings,
        )
        self._parts.publish()
        self.wake()

    def _list_engines(self) -> list[Target]:
        services = dict(self._list_services())
        entries = [
            self._parts.directory.get_entry(target.instance)
            for target in self._parts.directory
            if target.service in services and not target.is_leaving
        ]
        return [entry for entry in entries if entry is not None]

    def _list_services(self) -> list[tuple[str, EngineType]]:
        current = self._parts.configuration.current
        if current is None:
            return []
        return [
            (service.name, service.engine)
            for service in current.services.values()
            if service.engine is not None
        ]

    def _seconds_to_first_traffic(self) -> float:
        if not is_first_fence(self._parts.election.fence):
            return 0
        return max(
            0,
            self._started_at + _FIRST_TRAFFIC_S - self._clock.monotonic(),
        )

    def _describe_fleet(
        self,
        service: str,
        engine: EngineType,
        models: Mapping[str, ModelFacts],
    ) -> Fleet:
        demand = self._parts.demand
        adapter_idle_s = demand.adapter_idle_s(service)
        return Fleet(
            engines=tuple(
                record.describe(
                    engine.weights_bytes,
                    engine.adapter_slots,
                    adapter_idle_s,
                )
                for record in self._records
                if record.target.service == service
                and not self._parts.reachability.is_unreachable(
                    record.target.identity
                )
            ),
            models=models,
            demand=demand.summarize_models(service),
            adapter_waiting=demand.count_waiting_by_adapter(service),
            store_loads=self._parts.budget.remaining(engine.loads_per_s),
            demand_known_s=demand.observed_s(),
            initial_copies=collections.Counter(
                model
                for record in self._records
                if record.target.service == service
                for model in self._initial_models.get(
                    record.target.identity, ()
                )
            ),
            lead_s=self._seconds_to_first_traffic(),
        )


def describe_models(engine: EngineType) -> dict[str, ModelFacts]:
    """Return the models of a service for the planner."""
    return {
        model.name: ModelFacts(
            model.name,
            model.weights_bytes,
            model.adapter_count,
            model.adapter_bytes,
            model.store_load_s,
            model.disk_load_s,
            model.memory_load_s,
        )
        for model in engine.models.values()
    }
