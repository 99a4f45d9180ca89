"""Place the models of a data centre under one acquisition of the lease."""

import random
from collections.abc import Callable, Mapping
from typing import NamedTuple

from cassiarail.control.executor import Executor, ExecutorSettings, KeySize
from cassiarail.control.inventory import Inventory
from cassiarail.control.ledger import (
    EntryState,
    LedgerDocument,
    TargetShape,
    format_key,
    list_keys,
    round_bytes,
    sum_charges,
)
from cassiarail.control.ledgers import LedgerKeeper
from cassiarail.control.orders import EngineAdmin
from cassiarail.control.rates import share_limits
from cassiarail.controller.events import MODEL_UNPLACED
from cassiarail.controller.situation import (
    DemandSource,
    build_situation,
    list_shapes,
    list_sizes,
)
from cassiarail.controller.status import (
    StatusBoard,
    StatusDocument,
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
    """Hold what every tenure of one controller uses."""

    data_centre: str
    declarations: DeclarationsSource
    writer: ConditionalWriter
    admin: EngineAdmin
    policy: PlacementPolicy
    demand: DemandSource
    board: StatusBoard
    invariants: Invariants
    clock: Clock
    generator: random.Random


class Tenure:
    """Take over, read the reports, plan, execute and publish the status."""

    def __init__(
        self,
        parts: ControlParts,
        lease: Lease,
        declarations: DeclarationsDocument,
    ) -> None:
        """Use the fence that the lease has now."""
        self.fence = lease.fence
        self._parts = parts
        self._lease = lease
        self._sizes: Mapping[HoldingKey, KeySize] = {}
        self._keeper = LedgerKeeper(
            parts.writer,
            parts.invariants,
            lease.fence,
        )
        self._inventory = Inventory(
            self._keeper,
            parts.admin,
            parts.clock,
            self._kv_reserve,
        )
        fleet = declarations['fleet']
        self._executor = Executor(
            self._keeper,
            self._inventory,
            parts.admin,
            self.may_act,
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

    def may_act(self) -> bool:
        """Tell whether the lease is held under the fence of this tenure."""
        return self._lease.is_held() and self._lease.fence == self.fence

    async def step(self, declarations: DeclarationsDocument) -> StatusDocument:
        """Do one round and return the status that it published.

        Raises ``StaleFenceError`` if a later holder took over, and
        ``StoreError``.
        """
        parts = self._parts
        shapes = list_shapes(declarations, parts.data_centre)
        self._sizes = list_sizes(declarations)
        await self._keeper.take_over(shapes.values())
        await self._inventory.refresh_all(shapes.values())
        await parts.board.refresh()
        status = self._describe(shapes)
        plan = parts.policy.plan(
            build_situation(
                declarations,
                [status, *parts.board.list_present()],
                parts.demand,
            ),
        )
        _report_unplaced(plan)
        earlier = _list_earlier(declarations, parts.data_centre)
        if self.may_act():
            await self._executor.execute(
                plan,
                shapes,
                self._sizes,
                lambda model: parts.board.has_copy(earlier, model),
            )
        status = self._describe(shapes)
        status['unplaced'] = dict(plan.unplaced)
        if self.may_act():
            await parts.board.publish(status)
        return status

    def _kv_reserve(self, key: HoldingKey) -> int:
        return self._sizes.get(key, KeySize(0)).kv_reserve_bytes

    def _describe(self, shapes: Mapping[str, TargetShape]) -> StatusDocument:
        parts = self._parts
        return StatusDocument(
            data_centre=parts.data_centre,
            holder=self._lease.holder,
            fence=self.fence,
            written_at=parts.clock.now().timestamp(),
            targets=[
                self._describe_target(shape)
                for shape in shapes.values()
                if self._keeper.holds(shape.name)
            ],
            unplaced={},
            moves={
                kind.value: number
                for kind, number in self._executor.started.items()
            },
        )

    def _describe_target(self, shape: TargetShape) -> TargetStatus:
        ledger = self._keeper.get(shape.name)
        report = self._inventory.find_report(shape.name)
        held = list_keys(ledger, (EntryState.RESERVED, EntryState.HELD))
        live = self._inventory.list_live(shape.name)
        return TargetStatus(
            name=shape.name,
            service=shape.service,
            memory_bytes=self._count_room(ledger, held),
            charged_bytes=sum_charges(ledger),
            unresolved_orders=len(ledger['sends']),
            capacity=self._parts.demand.read_capacity(shape.name),
            reached=report is not None,
            leaving=report is not None and report['leaving'],
            held=sorted(map(format_key, held)),
            live=sorted(map(format_key, live)),
        )

    def _count_room(
        self,
        ledger: LedgerDocument,
        held: frozenset[HoldingKey],
    ) -> int:
        """Return the memory that a plan may fill.

        A policy counts the declared sizes of the held keys, so what is
        charged otherwise is taken off.
        """
        accelerators = ledger['accelerators']
        declared = [self._sizes[key] for key in held if key in self._sizes]
        counted = sum(
            round_bytes(size.bytes, accelerators)
            + round_bytes(size.kv_reserve_bytes, accelerators)
            for size in declared
        )
        return ledger['capacity_bytes'] - sum_charges(ledger) + counted


def _list_earlier(
    declarations: DeclarationsDocument,
    data_centre: str,
) -> list[str]:
    """Return the data centres whose copies this one may rely on.

    Reliance goes one way only, so that two data centres never unload a model
    at the same moment, each relying on the other's copy.
    """
    names = declarations['fleet']['data_centres']
    return names[: names.index(data_centre)]


def _report_unplaced(plan: Plan) -> None:
    for model, reason in plan.unplaced.items():
        emit_event(MODEL_UNPLACED, model=model, reason=reason)
