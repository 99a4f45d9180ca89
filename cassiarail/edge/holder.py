"""Hold the lease on the engines and give them orders."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import NamedTuple

import anyio

from cassiarail.core.clock import Clock
from cassiarail.core.events import emit_event
from cassiarail.core.exceptions import StoreError
from cassiarail.core.lifecycle import Component
from cassiarail.edge.configuration import ConfigurationInForce, EngineType
from cassiarail.edge.engines import (
    ADAPTER_READY_S,
    EngineRecord,
    EngineRecords,
)
from cassiarail.edge.events import HOLDER_BEGINS, HOLDER_ENDS
from cassiarail.edge.fleet_demand import FleetDemand
from cassiarail.edge.messages import EngineRow, ExpectedRow
from cassiarail.edge.orders import LoadBudget, OrderGiver
from cassiarail.edge.targets import Target, TargetDirectory
from cassiarail.placement.ondemand import (
    Fleet,
    ModelFacts,
    Step,
    plan_steps,
)
from cassiarail.store.leases import Lease

_TICK_S = 0.1
_RENEWALS_PER_LEASE = 3
# Orders end this long before the lease does, so that one under way arrives
# in time.
_STOP_EARLY_S = 0.5
# An engine still loads when its entry says so late; a report is read then.
_LATE_LOAD_S = 1.5


class HolderRules(NamedTuple):
    """Hold the times of a tenure in seconds.

    ``quiet_s`` passes between the last order of one holder and the first of
    the next. ``silence_s`` is how long others wait for the holder's word
    before they try to take the lease.
    """

    lease_s: float
    quiet_s: float
    silence_s: float = 1.5


class HolderParts(NamedTuple):
    """Hold what the order holder works with."""

    lease: Lease
    giver: OrderGiver
    directory: TargetDirectory
    configuration: ConfigurationInForce
    demand: FleetDemand
    budget: LoadBudget
    announce: Callable[[], None]
    resign: Callable[[], None]
    jitter: Callable[[], float]


class OrderHolder(Component):
    """Compete for the lease; while it is held, plan and give orders."""

    name = 'order holder'

    def __init__(
        self,
        parts: HolderParts,
        clock: Clock,
        rules: HolderRules,
    ) -> None:
        self.heard_at = float('-inf')
        self._parts = parts
        self._clock = clock
        self._rules = rules
        self._records = EngineRecords(clock)
        self._orders_from = float('inf')
        self._renew_at = float(0)
        self._work = asyncio.Event()
        self._is_holder = False
        self._fence = 0
        self._is_stopping = False
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def is_holder(self) -> bool:
        """Tell whether this host holds the lease."""
        return self._is_holder and self._parts.lease.is_held()

    @property
    def fence(self) -> int:
        """Return the number of the tenure."""
        return self._fence

    def wake(self) -> None:
        """Plan at once."""
        self._work.set()

    def hear_holder(self) -> None:
        """Note that another host holds the lease and is alive."""
        self.heard_at = self._clock.monotonic()

    def hear_resignation(self) -> None:
        """Note that the lease was given back."""
        self.heard_at = float('-inf')

    async def run(self) -> None:
        """Compete and work until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._keep_lease)
            group.start_soon(self._work_on)

    async def drain(self) -> None:
        """Give the lease back, so that another host takes it at once."""
        self._is_stopping = True
        was_holder = self._is_holder
        self._is_holder = False
        if was_holder:
            emit_event(HOLDER_ENDS, fence=self.fence, reason='stopping')
            for task in self._tasks:
                task.cancel()
            await self._parts.lease.release()
            self._parts.resign()

    def list_rows(self) -> list[EngineRow]:
        """Return what the engines hold, for the other hosts."""
        return [
            EngineRow(
                record.target.instance,
                record.target.born_ms,
                record.holdings.order_count,
                {
                    model: sorted(adapters)
                    for model, adapters in record.holdings.models.items()
                },
            )
            for record in self._records
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

    async def _keep_lease(self) -> None:
        """Acquire and renew apart from planning, as the store may be slow."""
        while not self._is_stopping:
            if self._may_compete():
                await self._attempt()
            if self._is_holder and not self._parts.lease.is_held():
                self._end_tenure()
            await self._clock.sleep(_TICK_S * (1 + self._parts.jitter()))

    async def _work_on(self) -> None:
        while True:
            if self.is_holder:
                self._plan()
                self._work.clear()
                with anyio.move_on_after(_TICK_S):
                    await self._work.wait()
            else:
                await self._clock.sleep(_TICK_S)

    def _may_compete(self) -> bool:
        now = self._clock.monotonic()
        if self._is_holder:
            return now >= self._renew_at
        return now - self.heard_at > self._rules.silence_s

    async def _attempt(self) -> None:
        lease = self._parts.lease
        try:
            is_held = await lease.attempt()
        except StoreError:
            # The lease lapses by the clock; the guard logs the outage.
            is_held = lease.is_held()
        now = self._clock.monotonic()
        self._renew_at = now + self._rules.lease_s / _RENEWALS_PER_LEASE
        if is_held and not self._is_holder:
            self._begin_tenure()

    def _begin_tenure(self) -> None:
        self._is_holder = True
        self._fence = self._parts.lease.fence
        quiet_s = self._rules.quiet_s if self.fence > 1 else 0
        self._orders_from = self._clock.monotonic() + quiet_s
        self._records.clear()
        emit_event(HOLDER_BEGINS, fence=self.fence, quiet_s=quiet_s)
        self._parts.announce()

    def _end_tenure(self) -> None:
        self._is_holder = False
        self._records.clear()
        emit_event(HOLDER_ENDS, fence=self.fence, reason='lease lapsed')

    def _plan(self) -> None:
        now = self._clock.monotonic()
        self._records.follow(self._list_engines())
        may_order = now >= self._orders_from and self._has_time()
        for record in list(self._records):
            self._check_late(record, now)
            if may_order and record.is_report_due(now):
                self._start(record, self._read_report(record))
        if not may_order:
            return
        for service, engine in self._list_services():
            for step in plan_steps(self._describe(service, engine)):
                self._begin_step(step)

    def _begin_step(self, step: Step) -> None:
        record = next(
            each
            for each in self._records
            if each.target.instance == step.engine
        )
        if record.is_busy:
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
                self._parts.lease.holder,
                self.fence,
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

    def _check_late(self, record: EngineRecord, now: float) -> None:
        if record.settling and now > record.ready_at + _LATE_LOAD_S:
            record.ready_at = now
            record.needs_report = True

    def _has_time(self) -> bool:
        lease = self._parts.lease
        return lease.seconds_left() > _STOP_EARLY_S

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
            ),
            models=describe_models(engine),
            demand=demand.of_models(service),
            adapter_waiting=demand.waiting_adapters(service),
            store_loads=self._parts.budget.left(engine.loads_per_s),
            known_s=demand.unasked_s(),
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
