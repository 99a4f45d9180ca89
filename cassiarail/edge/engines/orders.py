"""Send orders to engines and resolve those without a response."""

import collections
from collections.abc import Callable

from cassiarail.core.clock import Clock
from cassiarail.core.events import emit_event
from cassiarail.core.exceptions import RequestError, TargetError
from cassiarail.edge.dialect import Dialect, Order
from cassiarail.edge.engines.records import EngineRecord
from cassiarail.edge.events import ORDER_FAILED, ORDER_SENT, REPORT_FAILED
from cassiarail.edge.registry.availability import TargetAvailability
from cassiarail.edge.registry.targets import ModelVariant, Target
from cassiarail.http1.calls import ServerResponse, call_server
from cassiarail.http1.messages import ResponseHead
from cassiarail.http1.pool import ConnectionPool
from cassiarail.placement.fleet import Step

# The connection of an order without a response is closed after this, so that
# the order can't arrive later. The hold-off between two leaders includes it.
ORDER_TIMEOUT_S = 0.3
_REPORT_TIMEOUT_S = 0.8
# Report requests have a cost; a failed one is repeated after this.
_REPORT_RETRY_S = 0.25
# If the previous leader has used its whole window, the sum still stays below
# the tolerance that operators allow: a tenth and three loads.
_SHARE_AFTER_TAKEOVER = 0.4
_ACCEPTED = frozenset((200, 202))
_OK = 200
# A report with hundreds of runs, models and adapters has a tenth of this. All
# engines may respond at the same time.
_MAX_RESPONSE_BYTES = 262_144


class LoadBudget:
    """Limit the loads from the weight store over all engines."""

    def __init__(self, clock: Clock, window_s: float) -> None:
        self._clock = clock
        self._window_s = window_s
        self._load_times: collections.deque[float] = collections.deque()
        self._term_began_at = float('-inf')

    def begin(self, *, is_first: bool) -> None:
        """Begin a term; a previous leader may have used the window."""
        if not is_first:
            self._term_began_at = self._clock.monotonic()

    def record(self) -> None:
        """Count a load, even if its order may be lost."""
        self._load_times.append(self._clock.monotonic())

    def remaining(self, loads_per_s: float) -> int:
        """Return how many loads may begin now."""
        oldest = self._clock.monotonic() - self._window_s
        while self._load_times and self._load_times[0] <= oldest:
            self._load_times.popleft()
        allowed = loads_per_s * self._window_s
        if self._term_began_at > oldest:
            allowed *= _SHARE_AFTER_TAKEOVER
        return max(0, int(allowed) - len(self._load_times))


class OrderSender:
    """Send orders on behalf of the host that holds the lease."""

    def __init__(
        self,
        pool: ConnectionPool,
        dialect: Dialect,
        clock: Clock,
        availability: TargetAvailability,
    ) -> None:
        self._availability = availability
        self._pool = pool
        self._dialect = dialect
        self._clock = clock

    async def send(
        self,
        record: EngineRecord,
        step: Step,
        leader: str,
        fence: int,
        may_order: Callable[[], bool],
    ) -> bool:
        """Send one order; return whether the engine accepted it.

        ``may_order`` is checked again right before the order is sent: the
        term may have ended while a connection was opened.
        """
        target = record.target
        variant = ModelVariant(step.model, step.adapter)
        order = Order(
            step.is_load,
            variant,
            record.holdings.order_count,
            leader,
            fence,
        )
        try:
            response = await call_server(
                self._pool,
                target.address,
                self._dialect.encode_order(order, target.instance),
                ORDER_TIMEOUT_S,
                lambda: may_order() and self._availability.may_send(target),
                _MAX_RESPONSE_BYTES,
                drop_unsent=True,
            )
        except TargetError as error:
            self._handle_failure(record, order, error.message)
            return False
        self._record_response(target, response)
        if response.status not in _ACCEPTED:
            self._handle_failure(record, order, f'status {response.status}')
            return False
        record.accept_order(
            variant,
            is_load=step.is_load,
            expected_s=step.expected_s,
            is_new=not (step.is_load and response.status == _OK),
        )
        record.record_intended(step.intended)
        emit_event(
            ORDER_SENT,
            target=target.instance,
            load=step.is_load,
            model=step.model,
            adapter=step.adapter,
            intended=step.intended,
            from_store=step.is_store_load,
            orders=record.holdings.order_count,
            status=response.status,
            fence=fence,
        )
        return True

    async def read_report(self, record: EngineRecord) -> bool:
        """Read what an engine holds; return whether that succeeded."""
        target = record.target
        record.report_after = self._clock.monotonic() + _REPORT_RETRY_S
        try:
            response = await call_server(
                self._pool,
                target.address,
                (self._dialect.encode_report_request(), b''),
                _REPORT_TIMEOUT_S,
                max_bytes=_MAX_RESPONSE_BYTES,
            )
            self._record_response(target, response)
            if response.status != _OK:
                raise RequestError(f'status {response.status}')
            born_ms, holdings, is_busy = self._dialect.decode_report(
                response.body,
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
                error='the engine has restarted',
            )
            return False
        record.apply_report(holdings, is_busy=is_busy)
        return True

    def _record_response(
        self, target: Target, response: ServerResponse
    ) -> None:
        head = ResponseHead(response.status, b'', response.headers)
        facts = self._dialect.decode_response(head)
        self._availability.record_response(target, facts)

    def _handle_failure(
        self, record: EngineRecord, order: Order, reason: str
    ) -> None:
        """Log a failed order; a report will show whether it was executed."""
        record.require_report()
        emit_event(
            ORDER_FAILED,
            target=record.target.instance,
            load=order.is_load,
            model=order.variant.model,
            adapter=order.variant.adapter,
            orders=order.expected_count,
            reason=reason,
        )
