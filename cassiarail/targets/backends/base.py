"""Define the common base of the clients of all kinds of targets."""

import abc
import contextlib
from collections.abc import AsyncIterator, Mapping
from typing import NamedTuple

import httpx
import msgspec

from cassiarail.core.clock import Clock
from cassiarail.core.deadline import TIMEOUT_HEADER, Deadline
from cassiarail.core.exceptions import TargetRefusedError
from cassiarail.core.verdict import VERDICT_HEADER, Verdict, parse_verdict
from cassiarail.targets.connections import (
    ConnectionPools,
    TargetResponse,
    Timeouts,
    build_url,
)

REQUEST_ID_HEADER = 'x-request-id'
ERROR_BODY_LIMIT = 65_536
_REFUSAL_STATUSES = frozenset((429, 503))
_MIN_TIMEOUT_S = 0.001


class Hop(NamedTuple):
    """Hold the parameters that a request passes on to the next hop.

    ``headers`` contain the trace context. ``connect_s`` and ``idle_s`` are
    timeouts in seconds. The deadline doesn't shorten ``idle_s``: an idle
    timeout retires the target's connections, which must not happen when a
    request only reaches its deadline and its cancel scope ends it.
    """

    request_id: str
    deadline: Deadline
    connect_s: float
    idle_s: float
    headers: Mapping[str, str]


class Target(abc.ABC):
    """Send requests to the targets of one kind."""

    # The path under which targets of this kind report their load.
    load_path: str

    def __init__(self, pools: ConnectionPools, clock: Clock) -> None:
        self._pools = pools
        self._clock = clock

    @abc.abstractmethod
    async def check_response(self, response: TargetResponse) -> None:
        """Raise the error that corresponds to a response, if any."""

    @contextlib.asynccontextmanager
    async def send(
        self,
        address: str,
        request: httpx.Request,
        *,
        fresh: bool = False,
    ) -> AsyncIterator[TargetResponse]:
        """Send a request, check the response and keep it open."""
        exchange = self._pools.exchange(address, request, fresh=fresh)
        async with exchange as response:
            await raise_refusal(response)
            await self.check_response(response)
            yield response

    def build_request(
        self,
        hop: Hop,
        method: str,
        url: str,
        body: bytes = b'',
        headers: Mapping[str, str] | None = None,
    ) -> httpx.Request:
        """Return a request with the hop's deadline and trace context."""
        remaining = max(_MIN_TIMEOUT_S, hop.deadline.remaining(self._clock))
        timeouts = Timeouts(
            connect_s=min(hop.connect_s, remaining),
            read_s=hop.idle_s,
        )
        return httpx.Request(
            method,
            url,
            headers={
                **(headers or {}),
                **hop.headers,
                REQUEST_ID_HEADER: hop.request_id,
                TIMEOUT_HEADER: hop.deadline.format_header(self._clock),
            },
            content=body or None,
            extensions={'timeout': timeouts.as_extension()},
        )

    async def fetch_load(self, address: str, hop: Hop) -> dict[str, object]:
        """Return the load that the target reports."""
        request = self.build_request(
            hop, 'GET', build_url(address, self.load_path)
        )
        async with self.send(address, request) as response:
            body = await response.read_body(ERROR_BODY_LIMIT)
        return msgspec.json.decode(body, type=dict[str, object])


def read_verdict(response: TargetResponse) -> Verdict:
    """Return the verdict of a response; the default is that it ran."""
    verdict = parse_verdict(response.headers.get(VERDICT_HEADER))
    return verdict or Verdict.RAN


async def raise_refusal(response: TargetResponse) -> None:
    """Raise ``TargetRefusedError`` if the target did not start the request."""
    if response.status not in _REFUSAL_STATUSES:
        return
    if read_verdict(response) is not Verdict.NOT_RUN:
        return
    body = await response.read_body(ERROR_BODY_LIMIT)
    raise TargetRefusedError(
        f'target refused with status {response.status}',
        reason=read_error_code(body) or 'refused',
    )


def read_error_code(body: bytes) -> str:
    """Return the code of an error body, or an empty string."""
    try:
        return msgspec.json.decode(body, type=_ErrorEnvelope).error.code
    except msgspec.MsgspecError:
        return ''


class _ErrorCode(msgspec.Struct):
    code: str


class _ErrorEnvelope(msgspec.Struct):
    error: _ErrorCode
