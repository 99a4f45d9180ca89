"""Plan for the engines and give them orders, while the lease is held."""

import asyncio
import collections
from collections.abc import Callable, Coroutine
from typing import NamedTuple

import anyio

from cassiarail.core.clock import Clock
from cassiarail.core.lifecycle import Component
from cassiarail.edge.configuration import CurrentConfiguration, EngineType
from cassiarail.edge.engines import (
    ADAPTER_READY_S,
    EngineRecord,
    EngineRecords,
)
from cassiarail.edge.fleet_demand import FleetDemand
from cassiarail.edge.messages import EngineRow, ExpectedRow
from cassiarail.edge.orders import LoadBudget, OrderGiver
from cassiarail.edge.targets import Target, TargetDirectory
from cassiarail.edge.tenure import Tenure
from cassiarail.placement.fleet import (
    Fleet,
    ModelFacts,
    Step,
)
from cassiarail.placement.ondemand import plan_steps
from cassiarail.routing.reach import ReachTracker

_TICK_S = 0.1
# Traffic begins 12 s or more after the hosts are started for the first time
# (the deployments' sheets).
_LEAD_S = 11.0
# Each digest of a host wakes the planning. At 85 hosts and 45 engines that is
# 170 plans a second of 10 ms; resting three times as long keeps planning under
# a quarter of a core, and leaves the rest to callers.
_REST_PER_PLAN = 3.0
# A report is read if an engine's entry doesn't show the end of a load or an
# unload this long after it was due.
_LATE_S = 1.5


class HolderParts(NamedTuple):
    """Hold what the order holder works with."""

    tenure: Tenure
    giver: OrderGiver
    directory: TargetDirectory
    configuration: CurrentConfiguration
    demand: FleetDemand
    budget: LoadBudget
    reach: ReachTracker
    announce: Callable[[], None]


class OrderHolder(Component):
    """Plan and give orders while this host holds the lease."""

    name = 'order holder'

    def __init__(self, parts: HolderParts, clock: Clock) -> None:
        self._parts = parts
        self._clock = clock
        self._begun_at = clock.monotonic()
        self._records = EngineRecords(clock)
        self._first_held: dict[tuple[str, int], frozenset[str]] = {}
        self._work = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def is_holder(self) -> bool:
        """Tell whether this host holds the lease."""
        return self._parts.tenure.is_held()

    def wake(self) -> None:
        """Plan at once."""
        self._work.set()

    def begin(self) -> None:
        """Start to learn what the engines hold."""
        self._records.clear()
        self.wake()

    def end(self) -> None:
        """Give no more orders."""
        for task in self._tasks:
            task.cancel()

    async def run(self) -> None:
        """Plan until cancelled."""
        while True:
            if self.is_holder:
                self._work.clear()
                begun_at = self._clock.monotonic()
                self._plan()
                took_s = self._clock.monotonic() - begun_at
                await self._clock.sleep(took_s * _REST_PER_PLAN)
                with anyio.move_on_after(_TICK_S):
                    await self._work.wait()
            else:
                await self._clock.sleep(_TICK_S)

    def list_rows(self) -> list[EngineRow]:
        """Return what the engines hold, for the other hosts.

        An engine that was not asked yet is left out.
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
                record.idle_s(),
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
        self._records.follow(engines)
        self._first_held = {
            engine.identity: self._first_held.get(
                engine.identity,
                frozenset(engine.holdings.models),
            )
            for engine in engines
        }
        for record in self._records:
            record.check_late(now, _LATE_S)
            is_open = self._parts.tenure.may_order(record.target.instance)
            if is_open and record.is_report_due(now):
                self._start(record, self._read_report(record))
        for service, engine in self._list_services():
            for step in plan_steps(self._describe(service, engine)):
                self._begin_step(step)

    def _begin_step(self, step: Step) -> None:
        record = next(
            each
            for each in self._records
            if each.target.instance == step.engine
        )
        is_open = self._parts.tenure.may_order(step.engine)
        if record.is_busy or not is_open:
            return
        if step.is_store_load:
            self._parts.budget.record()
        self._start(record, self._give(record, step))

    def _start(
        self,
        record: EngineRecord,
        work: Coroutine[None, None, None],
    ) -> None:
        record.in_order = True
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _give(self, record: EngineRecord, step: Step) -> None:
        try:
            is_accepted = await self._parts.giver.give(
                record,
                step,
                self._parts.tenure.holder,
                self._parts.tenure.fence,
            )
            if is_accepted and step.adapter and step.is_load:
                await self._clock.sleep(ADAPTER_READY_S)
        finally:
            record.in_order = False
        self._publish(record)

    async def _read_report(self, record: EngineRecord) -> None:
        try:
            await self._parts.giver.read_report(record)
        finally:
            record.in_order = False
        self._publish(record)

    def _publish(self, record: EngineRecord) -> None:
        self._parts.directory.learn_holdings(
            record.target.identity,
            record.holdings,
        )
        self._parts.announce()
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

    def _lead_left_s(self) -> float:
        if self._parts.tenure.fence > 1:
            return 0
        return max(0, self._begun_at + _LEAD_S - self._clock.monotonic())

    def _describe(self, service: str, engine: EngineType) -> Fleet:
        demand = self._parts.demand
        idle = demand.adapter_idle(service)
        return Fleet(
            engines=tuple(
                record.describe(
                    engine.weights_bytes,
                    engine.adapter_places,
                    idle,
                )
                for record in self._records
                if record.target.service == service
                and not self._parts.reach.is_lost(record.target.identity)
            ),
            models=describe_models(engine),
            demand=demand.of_models(service),
            adapter_waiting=demand.waiting_adapters(service),
            store_loads=self._parts.budget.left(engine.loads_per_s),
            known_s=demand.unasked_s(),
            popular=collections.Counter(
                model
                for record in self._records
                if record.target.service == service
                for model in self._first_held.get(record.target.identity, ())
            ),
            lead_s=self._lead_left_s(),
        )


def describe_models(engine: EngineType) -> dict[str, ModelFacts]:
    """Return the models of a service as the planner sees them."""
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
