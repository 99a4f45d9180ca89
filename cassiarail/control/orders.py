"""Send orders to engines and read their reports."""

import abc
import enum
from typing import NotRequired

import httpx
import msgspec
from typing_extensions import TypedDict

from cassiarail.core.exceptions import TargetError
from cassiarail.core.verdict import VERDICT_HEADER, Verdict, parse_verdict

_TIMEOUT_S = 2.0
# No byte of the order was sent when one of these is raised.
_NOT_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


class OrderDocument(TypedDict):
    """Describe an order as sent; each send has a new order id."""

    order_id: str
    fence: int
    instance: str
    kind: str
    model: NotRequired[str]
    version: NotRequired[str]
    adapter: NotRequired[str]
    role: NotRequired[str]
    bytes: NotRequired[int]


class OrderOutcome(enum.Enum):
    """List the possible outcomes of sending an order once.

    After ``NOT_SENT`` and the refusals the order never takes effect; after
    ``UNKNOWN`` it may take effect at any later time.
    """

    ACCEPTED = 'accepted'
    NOT_SENT = 'not_sent'
    STALE_FENCE = 'stale_fence'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'

    @property
    def is_void(self) -> bool:
        """Return whether the order can never take effect."""
        return self in _VOID


_VOID = frozenset(
    (OrderOutcome.NOT_SENT, OrderOutcome.STALE_FENCE, OrderOutcome.REFUSED),
)


class HoldingDocument(TypedDict):
    """Describe one key in a target's report."""

    kind: str
    model: str
    version: str
    adapter: NotRequired[str | None]
    bytes: int
    state: str


class OrderReportDocument(TypedDict):
    """Describe the state of an order that the instance received."""

    order_id: str
    state: str
    error: NotRequired[str | None]


class EngineReport(TypedDict):
    """Describe the state of a target at the time of its report."""

    instance: str
    fence: int
    role: str
    leaving: bool
    memory_bytes: int
    held: list[HoldingDocument]
    orders: list[OrderReportDocument]


class EngineAdmin(abc.ABC):
    """Access the administration interface of engines."""

    @abc.abstractmethod
    async def read_state(self, address: str) -> EngineReport:
        """Return the report of an engine.

        Raises ``TargetError`` if it can't be read.
        """

    @abc.abstractmethod
    async def send_order(
        self,
        address: str,
        order: OrderDocument,
    ) -> OrderOutcome:
        """Send an order once and return its outcome."""

    async def aclose(self) -> None:
        """Release all connections."""


class HttpEngineAdmin(EngineAdmin):
    """Access engines over HTTP."""

    def __init__(
        self,
        transport: httpx.AsyncBaseTransport | None = None,
        timeout_s: float = _TIMEOUT_S,
    ) -> None:
        """Set the transport; ``None`` means TCP."""
        self._client = httpx.AsyncClient(
            transport=transport,
            timeout=timeout_s,
        )

    async def read_state(self, address: str) -> EngineReport:
        """Return the report of an engine."""
        try:
            response = await self._client.get(f'http://{address}/admin/state')
        except httpx.HTTPError as error:
            raise TargetError(f'{address}: {error!r}') from error
        if response.status_code != httpx.codes.OK:
            raise TargetError(
                f'{address} responded with status {response.status_code}'
            )
        try:
            return msgspec.json.decode(response.content, type=EngineReport)
        except msgspec.MsgspecError as error:
            raise TargetError(
                f'{address}: the report could not be decoded'
            ) from error

    async def send_order(
        self,
        address: str,
        order: OrderDocument,
    ) -> OrderOutcome:
        """Send an order once and return its outcome."""
        try:
            response = await self._client.post(
                f'http://{address}/admin/orders',
                content=msgspec.json.encode(order),
                headers={'Content-Type': 'application/json'},
            )
        except _NOT_SENT:
            return OrderOutcome.NOT_SENT
        except httpx.HTTPError:
            return OrderOutcome.UNKNOWN
        return _classify(response)

    async def aclose(self) -> None:
        """Release all connections."""
        await self._client.aclose()


def _classify(response: httpx.Response) -> OrderOutcome:
    if response.status_code == httpx.codes.ACCEPTED:
        return OrderOutcome.ACCEPTED
    if response.status_code == httpx.codes.CONFLICT:
        if b'stale_fence' in response.content:
            return OrderOutcome.STALE_FENCE
        return OrderOutcome.REFUSED
    verdict = parse_verdict(response.headers.get(VERDICT_HEADER))
    if verdict is Verdict.NOT_RUN or response.is_client_error:
        return OrderOutcome.REFUSED
    return OrderOutcome.UNKNOWN
