"""Define what the clients of all kinds of targets share."""

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
_SHORTEST_WAIT_S = 0.001


class Hop(NamedTuple):
    """Hold what each request hands on to the next hop.

    ``headers`` carry the trace context. ``connect_s`` and ``idle_s`` bound
    the phases in seconds. The deadline doesn't shorten ``idle_s``: an idle
    time-out retires the target's connections, and a request that merely runs
    out of time, which its caller's cancel scope ends, must not do that.
    """

    request_id: str
    deadline: Deadline
    connect_s: float
    idle_s: float
    headers: Mapping[str, str]


class Target(abc.ABC):
    """Send requests to the targets of one kind."""

    # The path at which targets of this kind report their load.
    load_path: str

    def __init__(self, pools: ConnectionPools, clock: Clock) -> None:
        self._pools = pools
        self._clock = clock

    @abc.abstractmethod
    async def check_answer(self, answer: TargetResponse) -> None:
        """Raise the error that an answer stands for, if any."""

    @contextlib.asynccontextmanager
    async def send(
        self,
        address: str,
        request: httpx.Request,
        *,
        fresh: bool = False,
    ) -> AsyncIterator[TargetResponse]:
        """Send a request and hold its checked answer open."""
        exchange = self._pools.exchange(address, request, fresh=fresh)
        async with exchange as answer:
            await raise_refusal(answer)
            await self.check_answer(answer)
            yield answer

    def build_request(
        self,
        hop: Hop,
        method: str,
        url: str,
        body: bytes = b'',
        headers: Mapping[str, str] | None = None,
    ) -> httpx.Request:
        """Return a request that carries the hop's deadline and trace."""
        remaining = max(_SHORTEST_WAIT_S, hop.deadline.remaining(self._clock))
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
        """Return the target's own report of its load."""
        request = self.build_request(
            hop, 'GET', build_url(address, self.load_path)
        )
        async with self.send(address, request) as answer:
            body = await answer.read_body(ERROR_BODY_LIMIT)
        return msgspec.json.decode(body, type=dict[str, object])


def read_verdict(answer: TargetResponse) -> Verdict:
    """Return the verdict of an answer; an answer without one means it ran."""
    verdict = parse_verdict(answer.headers.get(VERDICT_HEADER))
    return verdict or Verdict.RAN


async def raise_refusal(answer: TargetResponse) -> None:
    """Raise ``TargetRefusedError`` if the target says it did not begin."""
    if answer.status not in _REFUSAL_STATUSES:
        return
    if read_verdict(answer) is not Verdict.NOT_RUN:
        return
    body = await answer.read_body(ERROR_BODY_LIMIT)
    raise TargetRefusedError(
        f'target refused with status {answer.status}',
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
