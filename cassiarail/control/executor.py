"""Execute the moves of a plan, loading new copies before unloading old ones.

The executor keeps no list of moves in progress: each call starts the moves
that are allowed now, and the ledgers and reports show the progress of earlier
ones. A new lease holder therefore continues where the previous one stopped.
"""

import collections
import functools
import random
from collections.abc import Callable, Mapping
from typing import NamedTuple

from cassiarail.control.events import (
    MOVE_REFUSED,
    ORDER_SENT,
    ORDER_UNCERTAIN,
)
from cassiarail.control.inventory import Inventory, list_ready, read_key
from cassiarail.control.ledger import (
    LOAD_KINDS,
    LedgerDocument,
    SendDocument,
    TargetSpec,
    find_sends,
    format_key,
    list_keys,
    record_send,
    reserve,
)
from cassiarail.control.ledgers import LedgerStore
from cassiarail.control.orders import EngineAdmin, OrderDocument, OrderOutcome
from cassiarail.control.rates import LoadRateLimiter, LoadShare
from cassiarail.core.clock import Clock
from cassiarail.core.events import emit_event
from cassiarail.core.exceptions import (
    ControlError,
    StaleFenceError,
    StoreError,
)
from cassiarail.placement.backends.base import (
    HoldingKey,
    Move,
    MoveKind,
    Plan,
)

# An order that no report shows is sent again after this time.
_RESEND_S = 10.0
_ORDER_ID_BITS = 96
_LOAD_MOVES = frozenset((MoveKind.LOAD_MODEL, MoveKind.LOAD_ADAPTER))


class KeySize(NamedTuple):
    """Hold the bytes that a key occupies on all accelerators together."""

    bytes: int
    kv_reserve_bytes: int = 0


class ExecutorSettings(NamedTuple):
    """Hold the load limits and the resend delay of an executor."""

    share: LoadShare
    resend_s: float = _RESEND_S


class Executor:
    """Start the moves of plans during one leadership term."""

    def __init__(
        self,
        ledgers: LedgerStore,
        inventory: Inventory,
        admin: EngineAdmin,
        holds_lease: Callable[[], bool],
        settings: ExecutorSettings,
        clock: Clock,
        generator: random.Random,
    ) -> None:
        """Set the callable that returns whether the lease is still held."""
        self.started: collections.Counter[MoveKind] = collections.Counter()
        self._ledgers = ledgers
        self._inventory = inventory
        self._admin = admin
        self._holds_lease = holds_lease
        self._settings = settings
        self._clock = clock
        self._generator = generator
        self._load_rate = LoadRateLimiter(
            settings.share.weight_loads_per_second, clock
        )
        self._sent_at: dict[tuple[str, HoldingKey, MoveKind], float] = {}

    async def execute(
        self,
        plan: Plan,
        specs: Mapping[str, TargetSpec],
        sizes: Mapping[HoldingKey, KeySize],
        has_remote_copy: Callable[[str], bool],
    ) -> None:
        """Start the moves that are allowed now, the most urgent first.

        ``has_remote_copy`` returns whether a data centre listed before this
        one has a model ready. Raises ``StaleFenceError`` if a later lease
        holder took over.
        """
        remaining = [
            move
            for move in plan.moves
            if move.target in specs and not self._is_done(move)
        ]
        pending = {move.key for move in remaining}
        for move in sorted(remaining, key=self._priority):
            if pending.intersection(move.after):
                continue
            try:
                await self._start_move(
                    move,
                    specs[move.target],
                    sizes,
                    has_remote_copy,
                )
            except StaleFenceError:
                raise
            except (ControlError, StoreError) as error:
                emit_event(
                    MOVE_REFUSED,
                    target=move.target,
                    kind=move.kind.value,
                    key=format_key(move.key),
                    reason=str(error),
                )

    def _priority(self, move: Move) -> int:
        """Return the sort key: loads of models without a copy come first."""
        if move.kind not in _LOAD_MOVES:
            return 2
        if self._inventory.has_other_copy(move.target, move.key):
            return 1
        return 0

    def _is_done(self, move: Move) -> bool:
        if self._inventory.find_report(move.target) is None:
            return False
        if move.kind in _LOAD_MOVES:
            return self._inventory.is_ready(move.target, move.key)
        ledger = self._ledgers.get(move.target)
        return format_key(move.key) not in ledger['entries']

    async def _start_move(
        self,
        move: Move,
        spec: TargetSpec,
        sizes: Mapping[HoldingKey, KeySize],
        has_remote_copy: Callable[[str], bool],
    ) -> None:
        if not self._is_due(move):
            return
        if move.kind in _LOAD_MOVES:
            size = sizes[move.key]
            charge = functools.partial(
                reserve,
                key=move.key,
                size=size.bytes,
                kv_reserve_bytes=size.kv_reserve_bytes,
            )
            # A load that does not fit must not consume the load rate.
            charge(self._ledgers.get(move.target))
            self._require_limits(move)
            await self._record_and_send(move, spec, charge, lambda: True)
            return
        may_unload = functools.partial(self._may_unload, move, has_remote_copy)
        if not may_unload():
            raise ControlError('no other copy is ready')
        await self._record_and_send(move, spec, _return_unchanged, may_unload)

    def _may_unload(
        self,
        move: Move,
        has_remote_copy: Callable[[str], bool],
    ) -> bool:
        """Return whether the model stays available without this copy."""
        if move.key.adapter:
            return True
        if self._inventory.has_other_copy(move.target, move.key):
            return True
        return has_remote_copy(move.key.model)

    def _is_due(self, move: Move) -> bool:
        """Return whether no earlier order for the move is in progress."""
        report = self._inventory.find_report(move.target)
        if report is None or not self._ledgers.has_ledger(move.target):
            return False
        if move.kind is MoveKind.SET_ROLE:
            return False
        for holding in report['held']:
            is_in_progress = holding['state'] in {'loading', 'unloading'}
            if is_in_progress and read_key(holding) == move.key:
                return False
        sent_at = self._sent_at.get((move.target, move.key, move.kind))
        if sent_at is None:
            return True
        return self._clock.monotonic() - sent_at >= self._settings.resend_s

    def _require_limits(self, move: Move) -> None:
        share = self._settings.share
        if move.kind is MoveKind.LOAD_ADAPTER:
            model = HoldingKey(move.key.model, move.key.version)
            if not self._inventory.is_ready(move.target, model):
                raise ControlError('the model of the adapter is not ready')
            if self._count_loading(move) >= share.adapter_loads_in_flight:
                raise ControlError('too many adapter loads in flight')
            return
        if self._count_loading(move) >= share.weight_loads_at_once:
            raise ControlError('too many weight loads at once')
        if not self._load_rate.try_acquire():
            raise ControlError('the rate limit of weight loads is reached')

    def _count_loading(self, move: Move) -> int:
        """Count the other loads of this kind that may be running.

        An order that no report shows counts until its key is ready, because
        it may still arrive. Unreachable targets don't count.
        """
        is_adapter = bool(move.key.adapter)
        return sum(
            1
            for target in self._inventory.list_reachable()
            for key in self._list_loading(target)
            if bool(key.adapter) == is_adapter
            and (target, key) != (move.target, move.key)
        )

    def _list_loading(self, target: str) -> frozenset[HoldingKey]:
        report = self._inventory.find_report(target)
        if report is None:
            return frozenset()
        ledger = self._ledgers.get(target)
        ready = list_ready(report)
        reported = {
            read_key(holding)
            for holding in report['held']
            if holding['state'] == 'loading'
        }
        expected = {
            key
            for key in list_keys(ledger) - ready
            if find_sends(ledger, key, LOAD_KINDS)
        }
        return frozenset(reported | expected)

    async def _record_and_send(
        self,
        move: Move,
        spec: TargetSpec,
        prepare: Callable[[LedgerDocument], LedgerDocument],
        is_still_allowed: Callable[[], bool],
    ) -> None:
        """Record an order in the ledger, then send it.

        The order id is void until the order is passed to the transport: if the
        outcome of the write is unknown or the lease expired, the order is
        never sent and a later reconciliation removes it.
        """
        order_id = f'{self._generator.getrandbits(_ORDER_ID_BITS):024x}'
        self._inventory.void_orders.add(order_id)
        instance = self._ledgers.get(spec.name)['instance']
        send = SendDocument(
            order_id=order_id,
            kind=move.kind.value,
            key=format_key(move.key),
            fence=self._ledgers.fence,
            instance=instance,
        )
        ledger = await self._ledgers.change(
            spec.name,
            lambda current: record_send(prepare(current), send),
        )
        if not self._holds_lease() or not is_still_allowed():
            raise ControlError('the order is no longer allowed')
        self._inventory.void_orders.discard(order_id)
        self._sent_at[move.target, move.key, move.kind] = (
            self._clock.monotonic()
        )
        outcome = await self._admin.send_order(
            spec.address,
            _build_order(move, send, ledger),
        )
        self._record_outcome(move, order_id, outcome)

    def _record_outcome(
        self, move: Move, order_id: str, outcome: OrderOutcome
    ) -> None:
        if outcome.is_void:
            self._inventory.void_orders.add(order_id)
            self._sent_at.pop((move.target, move.key, move.kind))
        else:
            self.started[move.kind] += 1
        if outcome is OrderOutcome.UNKNOWN:
            emit_event(ORDER_UNCERTAIN, target=move.target, order=order_id)
            return
        emit_event(
            ORDER_SENT,
            target=move.target,
            order=order_id,
            kind=move.kind.value,
            key=format_key(move.key),
            outcome=outcome.value,
        )


def _return_unchanged(ledger: LedgerDocument) -> LedgerDocument:
    return ledger


def _build_order(
    move: Move,
    send: SendDocument,
    ledger: LedgerDocument,
) -> OrderDocument:
    order = OrderDocument(
        order_id=send['order_id'],
        fence=send['fence'],
        instance=send['instance'],
        kind=send['kind'],
        model=move.key.model,
        version=move.key.version,
    )
    if move.key.adapter:
        order['adapter'] = move.key.adapter
    entry = ledger['entries'].get(send['key'])
    if entry is not None and move.kind in _LOAD_MOVES:
        order['bytes'] = entry['bytes']
    return order
