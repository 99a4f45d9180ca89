"""Read the reports of targets and reconcile the ledgers with them."""

import itertools
from collections.abc import Callable, Iterable
from typing import NamedTuple

import anyio

from cassiarail.control.events import (
    INSTANCE_CHANGED,
    REPORT_FAILED,
    UNKNOWN_HOLDING,
)
from cassiarail.control.ledger import (
    LOAD_KINDS,
    LedgerDocument,
    TargetSpec,
    find_sends,
    format_key,
    is_live,
    list_keys,
    mark_held,
    release,
    remove_sends,
    sum_charges,
)
from cassiarail.control.ledgers import LedgerStore
from cassiarail.control.orders import (
    EngineAdmin,
    EngineReport,
    HoldingDocument,
    OrderDocument,
)
from cassiarail.core.clock import Clock
from cassiarail.core.events import emit_event
from cassiarail.core.exceptions import (
    CassiarailError,
    StaleFenceError,
    VersionConflictError,
)
from cassiarail.placement.backends.base import HoldingKey

READY = 'ready'
_RUNNING = 'running'
# A target whose last report is older counts as unreachable. Reports are read
# every 2 s, so that one lost report doesn't move any model.
_REPORT_MAX_AGE_S = 5.0
KvReserve = Callable[[HoldingKey], int]


class TimedReport(NamedTuple):
    """Hold a report and the monotonic time in seconds of its request."""

    report: EngineReport
    requested_at: float


class Inventory:
    """Hold the latest reports of the targets in a data centre."""

    def __init__(
        self,
        ledgers: LedgerStore,
        admin: EngineAdmin,
        clock: Clock,
        kv_reserve: KvReserve,
        report_max_age_s: float = _REPORT_MAX_AGE_S,
    ) -> None:
        """Set the callable that returns the KV cache reserve of a key."""
        self.void_orders: set[str] = set()
        self._reports: dict[str, TimedReport] = {}
        self._order_counter = itertools.count()
        self._ledgers = ledgers
        self._admin = admin
        self._clock = clock
        self._kv_reserve = kv_reserve
        self._report_max_age_s = report_max_age_s

    async def refresh_all(self, specs: Iterable[TargetSpec]) -> None:
        """Read all reports concurrently; a failure skips only its target.

        Raises ``StaleFenceError`` if a later lease holder took over.
        """
        stale: list[StaleFenceError] = []
        async with anyio.create_task_group() as group:
            for spec in specs:
                group.start_soon(self._refresh_or_log, spec, stale)
        # The task group would wrap it in an exception group.
        if stale:
            raise stale[0]

    async def refresh(self, spec: TargetSpec) -> None:
        """Read one report and reconcile the ledger with it.

        The version of the ledger is read before the report is requested, so
        that the report can't be older than the ledger that it changes. Raises
        ``TargetError``, ``StoreError`` and ``StaleFenceError``.
        """
        version = self._ledgers.version(spec.name)
        requested_at = self._clock.monotonic()
        report = await self._admin.read_state(spec.address)
        ledger = await self._ledgers.change(
            spec.name,
            lambda current: reconcile(
                current,
                report,
                self.void_orders,
                self._kv_reserve,
            ),
            version,
        )
        self._reports[spec.name] = TimedReport(report, requested_at)
        if ledger['checks_fence'] and report['fence'] < self._ledgers.fence:
            await self._send_fence(spec, ledger)

    def find_report(self, target: str) -> EngineReport | None:
        """Return the report of a target, or ``None`` if it is unreachable."""
        timed = self._reports.get(target)
        if timed is None or not self._ledgers.has_ledger(target):
            return None
        if (
            self._clock.monotonic() - timed.requested_at
            > self._report_max_age_s
        ):
            return None
        return timed.report

    def list_reachable(self) -> list[str]:
        """Return the names of the reachable targets."""
        return [name for name in self._reports if self.find_report(name)]

    def is_ready(self, target: str, key: HoldingKey) -> bool:
        """Return whether a key is ready at a target and will stay there."""
        report = self.find_report(target)
        if report is None or report['leaving']:
            return False
        ledger = self._ledgers.get(target)
        if ledger['instance'] != report['instance']:
            return False
        return is_live(ledger, key) and key in list_ready(report)

    def list_live(self, target: str) -> frozenset[HoldingKey]:
        """Return the keys for which ``is_ready`` is true."""
        report = self.find_report(target)
        if report is None:
            return frozenset()
        return frozenset(
            key for key in list_ready(report) if self.is_ready(target, key)
        )

    def has_other_copy(self, target: str, key: HoldingKey) -> bool:
        """Return whether another ready copy of the model of a key exists."""
        copies = (
            (name, other)
            for name in self._reports
            for other in self._list_models(name)
        )
        return any(
            other.model == key.model and (name, other) != (target, key)
            for name, other in copies
        )

    async def _refresh_or_log(
        self,
        spec: TargetSpec,
        stale: list[StaleFenceError],
    ) -> None:
        if not self._ledgers.has_ledger(spec.name):
            return
        try:
            await self.refresh(spec)
        except VersionConflictError:
            return
        except StaleFenceError as error:
            stale.append(error)
        except CassiarailError as error:
            emit_event(REPORT_FAILED, target=spec.name, error=str(error))

    async def _send_fence(
        self,
        spec: TargetSpec,
        ledger: LedgerDocument,
    ) -> None:
        fence = self._ledgers.fence
        order = OrderDocument(
            order_id=f'{spec.name}.fence.{fence}.{next(self._order_counter)}',
            fence=fence,
            instance=ledger['instance'],
            kind='fence',
        )
        # The next report shows whether the order arrived.
        await self._admin.send_order(spec.address, order)

    def _list_models(self, target: str) -> frozenset[HoldingKey]:
        return frozenset(
            key for key in self.list_live(target) if not key.adapter
        )


def read_key(holding: HoldingDocument) -> HoldingKey:
    """Return the key of a holding in a report."""
    return HoldingKey(
        holding['model'],
        holding['version'],
        holding.get('adapter') or '',
    )


def list_ready(report: EngineReport) -> frozenset[HoldingKey]:
    """Return the keys that are ready at a target."""
    return frozenset(
        read_key(holding)
        for holding in report['held']
        if holding['state'] == READY
    )


def reconcile(
    ledger: LedgerDocument,
    report: EngineReport,
    void_orders: Iterable[str],
    kv_reserve: KvReserve,
) -> LedgerDocument:
    """Return the ledger updated from a report requested after its last write.

    ``void_orders`` are the ids of orders that never take effect.
    """
    current = ledger
    if report['instance'] != ledger['instance']:
        if ledger['instance']:
            emit_event(
                INSTANCE_CHANGED,
                target=ledger['target'],
                instance=report['instance'],
            )
        current = _change_instance(current, report['instance'])
    current = remove_sends(current, void_orders)
    current = remove_sends(current, _find_resolved(current, report))
    current = _apply_holdings(current, report, kv_reserve)
    return _release_absent(current, report)


def _change_instance(ledger: LedgerDocument, instance: str) -> LedgerDocument:
    """Record a new instance and drop the orders sent to earlier ones."""
    sends = {
        order_id: send
        for order_id, send in ledger['sends'].items()
        if send['instance'] == instance
    }
    return LedgerDocument(
        **{**ledger, 'instance': instance, 'sends': sends},
    )


def _find_resolved(
    ledger: LedgerDocument,
    report: EngineReport,
) -> frozenset[str]:
    states = {order['order_id']: order['state'] for order in report['orders']}
    finished = {
        order_id for order_id, state in states.items() if state != _RUNNING
    }
    if not ledger['checks_fence']:
        return frozenset(finished)
    outdated = {
        order_id
        for order_id, send in ledger['sends'].items()
        if send['fence'] < report['fence'] and order_id not in states
    }
    return frozenset(finished | outdated)


def _apply_holdings(
    ledger: LedgerDocument,
    report: EngineReport,
    kv_reserve: KvReserve,
) -> LedgerDocument:
    current = ledger
    for holding in report['held']:
        key = read_key(holding)
        if format_key(key) not in current['entries']:
            current = _charge_unknown(current, holding, kv_reserve(key))
        elif holding['state'] == READY:
            current = mark_held(current, key)
    return current


def _charge_unknown(
    ledger: LedgerDocument,
    holding: HoldingDocument,
    kv_reserve_bytes: int,
) -> LedgerDocument:
    """Charge a key that the target holds without an entry in the ledger.

    The KV cache reserve is charged only if it fits; the weights already
    occupy memory.
    """
    key = read_key(holding)
    emit_event(
        UNKNOWN_HOLDING,
        target=ledger['target'],
        key=format_key(key),
    )
    charged = mark_held(ledger, key, holding['bytes'], kv_reserve_bytes)
    if sum_charges(charged) <= ledger['capacity_bytes']:
        return charged
    return mark_held(ledger, key, holding['bytes'])


def _release_absent(
    ledger: LedgerDocument,
    report: EngineReport,
) -> LedgerDocument:
    reported = {read_key(holding) for holding in report['held']}
    current = ledger
    for key in list_keys(ledger) - reported:
        if not find_sends(current, key, LOAD_KINDS):
            current = release(current, key)
    return current
