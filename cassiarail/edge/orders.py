"""Give orders to engines and settle those without an answer."""

import collections

from cassiarail.core.clock import Clock
from cassiarail.core.events import emit_event
from cassiarail.core.exceptions import RequestError, TargetError
from cassiarail.edge.dialect import Dialect, Order
from cassiarail.edge.engines import EngineRecord
from cassiarail.edge.events import ORDER_FAILED, ORDER_SENT, REPORT_FAILED
from cassiarail.edge.targets import Want
from cassiarail.http1.calls import call_server
from cassiarail.http1.pool import ConnectionPool
from cassiarail.placement.fleet import (
    Step,
)

# An order without an answer is torn from its connection after this, so that
# it can't arrive later. The quiet time between two holders allows for it.
ORDER_TIMEOUT_S = 0.3
_REPORT_TIMEOUT_S = 0.8
# Reports are priced; one that failed is asked for again after this.
_REPORT_PAUSE_S = 0.25
# With all of the window used by the holder before, the sum stays below the
# tolerance of a tenth and three loads that the operators allow.
_SHARE_AFTER_TAKEOVER = 0.4
_ACCEPTED = frozenset((200, 202))
_OK = 200


class LoadBudget:
    """Bound the loads from the weight store over all engines."""

    def __init__(self, clock: Clock, window_s: float) -> None:
        self._clock = clock
        self._window_s = window_s
        self._begun: collections.deque[float] = collections.deque()
        self._tenure_at = float('-inf')

    def begin(self, *, is_first: bool) -> None:
        """Begin a tenure; an earlier holder may have used the window."""
        if not is_first:
            self._tenure_at = self._clock.monotonic()

    def record(self) -> None:
        """Count a load, even if its order may be lost."""
        self._begun.append(self._clock.monotonic())

    def left(self, loads_per_s: float) -> int:
        """Return how many loads may begin now."""
        oldest = self._clock.monotonic() - self._window_s
        while self._begun and self._begun[0] <= oldest:
            self._begun.popleft()
        allowed = loads_per_s * self._window_s
        if self._tenure_at > oldest:
            allowed *= _SHARE_AFTER_TAKEOVER
        return max(0, int(allowed) - len(self._begun))


class OrderGiver:
    """Send orders for the host that holds the lease."""

    def __init__(
        self,
        pool: ConnectionPool,
        dialect: Dialect,
        clock: Clock,
    ) -> None:
        self._pool = pool
        self._dialect = dialect
        self._clock = clock

    async def give(
        self,
        record: EngineRecord,
        step: Step,
        holder: str,
        fence: int,
    ) -> bool:
        """Give one order; tell whether the engine accepted it."""
        target = record.target
        want = Want(step.model, step.adapter)
        order = Order(
            step.is_load,
            want,
            record.holdings.order_count,
            holder,
            fence,
        )
        record.ordered_at = self._clock.monotonic()
        try:
            reply = await call_server(
                self._pool,
                target.address,
                self._dialect.encode_order(order, target.instance),
                ORDER_TIMEOUT_S,
            )
        except TargetError as error:
            self._doubt(record, order, error.message)
            return False
        if reply.status not in _ACCEPTED:
            self._doubt(record, order, f'status {reply.status}')
            return False
        record.accept_order(
            want,
            is_load=step.is_load,
            expected_s=step.expected_s,
            has_advanced=not (step.is_load and reply.status == _OK),
        )
        record.intend(step.intended)
        emit_event(
            ORDER_SENT,
            target=target.instance,
            load=step.is_load,
            model=step.model,
            adapter=step.adapter,
            intended=step.intended,
            from_store=step.is_store_load,
            orders=record.holdings.order_count,
            status=reply.status,
            fence=fence,
        )
        return True

    async def read_report(self, record: EngineRecord) -> bool:
        """Read what an engine holds; tell whether that succeeded."""
        target = record.target
        record.report_after = self._clock.monotonic() + _REPORT_PAUSE_S
        try:
            reply = await call_server(
                self._pool,
                target.address,
                (self._dialect.encode_report_request(), b''),
                _REPORT_TIMEOUT_S,
            )
            if reply.status != _OK:
                raise RequestError(f'status {reply.status}')
            born_ms, holdings, is_busy = self._dialect.decode_report(
                reply.body,
            )
        except (TargetError, RequestError) as error:
            emit_event(
                REPORT_FAILED,
                target=target.instance,
                error=error.message,
            )
            return False
        if born_ms not in {0, target.born_ms}:
            emit_event(
                REPORT_FAILED,
                target=target.instance,
                error='the engine has started again',
            )
            return False
        record.take_report(holdings, is_busy=is_busy)
        return True

    def _doubt(self, record: EngineRecord, order: Order, reason: str) -> None:
        record.ask_report()
        emit_event(
            ORDER_FAILED,
            target=record.target.instance,
            load=order.is_load,
            model=order.variant.model,
            adapter=order.variant.adapter,
            orders=order.expected_count,
            reason=reason,
        )
