"""Place the models of a data centre during one leadership term."""

import random
from collections.abc import Callable, Mapping
from typing import NamedTuple

from cassiarail.control.executor import Executor, ExecutorSettings, KeySize
from cassiarail.control.inventory import Inventory
from cassiarail.control.ledger import (
    EntryState,
    LedgerDocument,
    TargetSpec,
    format_key,
    list_keys,
    round_bytes,
    sum_charges,
)
from cassiarail.control.ledgers import LedgerStore
from cassiarail.control.orders import EngineAdmin
from cassiarail.control.rates import share_limits
from cassiarail.controller.events import MODEL_UNPLACED
from cassiarail.controller.inputs import (
    DemandSource,
    build_placement_input,
    list_sizes,
    list_specs,
)
from cassiarail.controller.status import (
    StatusDocument,
    StatusRepository,
    TargetStatus,
)
from cassiarail.core.clock import Clock
from cassiarail.core.events import emit_event
from cassiarail.core.invariants import Invariants
from cassiarail.declarations.schema import DeclarationsDocument
from cassiarail.placement.backends.base import (
    HoldingKey,
    PlacementPolicy,
    Plan,
)
from cassiarail.store.leases import Lease
from cassiarail.store.writes import ConditionalWriter

DeclarationsSource = Callable[[], DeclarationsDocument | None]


class ControlParts(NamedTuple):
    """Hold the dependencies that all terms of a controller share."""

    data_centre: str
    declarations: DeclarationsSource
    writer: ConditionalWriter
    admin: EngineAdmin
    policy: PlacementPolicy
    demand: DemandSource
    statuses: StatusRepository
    invariants: Invariants
    clock: Clock
    generator: random.Random


class LeadershipTerm:
    """Do placement rounds under one acquisition of the lease.

    A round takes over the ledgers, reads the reports, plans, executes the
    plan and publishes the status.
    """

    def __init__(
        self,
        parts: ControlParts,
        lease: Lease,
        declarations: DeclarationsDocument,
    ) -> None:
        """Use the current fencing token of the lease."""
        self.fence = lease.fence
        self._parts = parts
        self._lease = lease
        self._sizes: Mapping[HoldingKey, KeySize] = {}
        self._ledgers = LedgerStore(
            parts.writer,
            parts.invariants,
            lease.fence,
        )
        self._inventory = Inventory(
            self._ledgers,
            parts.admin,
            parts.clock,
            self._find_kv_reserve,
        )
        fleet = declarations['fleet']
        self._executor = Executor(
            self._ledgers,
            self._inventory,
            parts.admin,
            self.holds_lease,
            ExecutorSettings(
                share_limits(
                    fleet['platform'],
                    fleet['data_centres'],
                    parts.data_centre,
                ),
            ),
            parts.clock,
            parts.generator,
        )

    def holds_lease(self) -> bool:
        """Return whether the lease is held with the token of this term."""
        return self._lease.is_held() and self._lease.fence == self.fence

    async def step(self, declarations: DeclarationsDocument) -> StatusDocument:
        """Do one placement round and return the published status.

        Raises ``StaleFenceError`` if a later lease holder took over, and
        ``StoreError``.
        """
        parts = self._parts
        specs = list_specs(declarations, parts.data_centre)
        self._sizes = list_sizes(declarations)
        await self._ledgers.take_over(specs.values())
        await self._inventory.refresh_all(specs.values())
        await parts.statuses.refresh()
        status = self._describe(specs)
        plan = parts.policy.plan(
            build_placement_input(
                declarations,
                [status, *parts.statuses.list_current()],
                parts.demand,
            ),
        )
        _log_unplaced(plan)
        preceding = _list_preceding(declarations, parts.data_centre)
        if self.holds_lease():
            await self._executor.execute(
                plan,
                specs,
                self._sizes,
                lambda model: parts.statuses.has_copy(preceding, model),
            )
        status = self._describe(specs)
        status['unplaced'] = dict(plan.unplaced)
        if self.holds_lease():
            await parts.statuses.publish(status)
        return status

    def _find_kv_reserve(self, key: HoldingKey) -> int:
        return self._sizes.get(key, KeySize(0)).kv_reserve_bytes

    def _describe(self, specs: Mapping[str, TargetSpec]) -> StatusDocument:
        parts = self._parts
        return StatusDocument(
            data_centre=parts.data_centre,
            holder=self._lease.holder,
            fence=self.fence,
            written_at=parts.clock.now().timestamp(),
            targets=[
                self._describe_target(spec)
                for spec in specs.values()
                if self._ledgers.has_ledger(spec.name)
            ],
            unplaced={},
            moves={
                kind.value: number
                for kind, number in self._executor.started.items()
            },
        )

    def _describe_target(self, spec: TargetSpec) -> TargetStatus:
        ledger = self._ledgers.get(spec.name)
        report = self._inventory.find_report(spec.name)
        held = list_keys(ledger, (EntryState.RESERVED, EntryState.HELD))
        live = self._inventory.list_live(spec.name)
        return TargetStatus(
            name=spec.name,
            service=spec.service,
            memory_bytes=self._count_available_bytes(ledger, held),
            charged_bytes=sum_charges(ledger),
            unresolved_orders=len(ledger['sends']),
            capacity=self._parts.demand.read_capacity(spec.name),
            reached=report is not None,
            leaving=report is not None and report['leaving'],
            held=sorted(map(format_key, held)),
            live=sorted(map(format_key, live)),
        )

    def _count_available_bytes(
        self,
        ledger: LedgerDocument,
        held: frozenset[HoldingKey],
    ) -> int:
        """Return the memory in bytes that a plan may use.

        A policy counts the declared sizes of the held keys itself, so all
        other charges are subtracted.
        """
        accelerators = ledger['accelerators']
        declared = [self._sizes[key] for key in held if key in self._sizes]
        counted = sum(
            round_bytes(size.bytes, accelerators)
            + round_bytes(size.kv_reserve_bytes, accelerators)
            for size in declared
        )
        return ledger['capacity_bytes'] - sum_charges(ledger) + counted


def _list_preceding(
    declarations: DeclarationsDocument,
    data_centre: str,
) -> list[str]:
    """Return the data centres whose copies this one may rely on.

    Each data centre relies only on those listed before it, so that two of
    them never unload a model at the same time because of each other's copy.
    """
    names = declarations['fleet']['data_centres']
    return names[: names.index(data_centre)]


def _log_unplaced(plan: Plan) -> None:
    for model, reason in plan.unplaced.items():
        emit_event(MODEL_UNPLACED, model=model, reason=reason)
