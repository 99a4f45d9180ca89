"""Send the planned requests and record their outcomes."""

import random
from collections.abc import Iterable

import anyio
import httpx
import msgspec

from cassiarail.core.clock import Clock
from cassiarail.core.events import emit_event
from cassiarail.core.verdict import VERDICT_HEADER, Verdict, parse_verdict
from cassiarail.load.checking import CompletionCheck
from cassiarail.load.events import LOAD_FINISHED, LOAD_STARTED, RESPONSE_FAULTY
from cassiarail.load.generator import PlannedRequest, RequestKind
from cassiarail.load.histograms import Latencies
from cassiarail.load.keys import make_key
from cassiarail.load.outcomes import (
    QUARANTINED,
    Attempt,
    Outcome,
    ResponseFault,
)
from cassiarail.load.scenario import ScenarioDocument

_CONNECT_TIMEOUT_S = 1
# The client waits slightly longer than the deadline that it sends.
_TIMEOUT_MARGIN_S = 2
_MILLISECONDS_PER_SECOND = 1000
_JITTER_RANGE = (0.5, 1.5)
# A caller can detect that a response was truncated.
_RESENDABLE_FAULTS = frozenset((ResponseFault.NONE, ResponseFault.TRUNCATED))


class LoadClient:
    """Send requests at their intended times, independent of other outcomes."""

    def __init__(
        self,
        scenario: ScenarioDocument,
        transport: httpx.AsyncBaseTransport,
        clock: Clock,
        generator: random.Random,
    ) -> None:
        """Create a client whose ``transport`` connects to the gateways."""
        self._scenario = scenario
        self._clock = clock
        self._generator = generator
        timeout_s = scenario['objective']['timeout_s'] + _TIMEOUT_MARGIN_S
        self._client = httpx.AsyncClient(
            transport=transport,
            timeout=httpx.Timeout(timeout_s, connect=_CONNECT_TIMEOUT_S),
        )
        self.gateways = list(scenario['gateways'])
        self.duration_s = float(1)
        self.gaps = Latencies()
        self.outcomes: list[Outcome] = []

    async def run(self, requests: Iterable[PlannedRequest]) -> None:
        """Send all requests and return when each has an outcome."""
        emit_event(LOAD_STARTED, scenario=self._scenario['name'])
        started_at = self._clock.monotonic()
        async with self._client, anyio.create_task_group() as group:
            for planned in requests:
                intended_at = started_at + planned.at_s
                delay_s = intended_at - self._clock.monotonic()
                if delay_s > 0:
                    await self._clock.sleep(delay_s)
                group.start_soon(self._send, planned, intended_at)
        self.duration_s = max(1, self._clock.monotonic() - started_at)
        emit_event(LOAD_FINISHED, requests=len(self.outcomes))

    async def _send(self, planned: PlannedRequest, intended_at: float) -> None:
        key = make_key(self._clock.now(), self._generator)
        attempts: list[Attempt] = []
        while True:
            attempt = await self._send_once(planned, key)
            attempts.append(attempt)
            if not self._may_resend(attempts):
                break
            wait_s = self._scenario['resending']['wait_s']
            jitter = self._generator.uniform(*_JITTER_RANGE)
            await self._clock.sleep(wait_s * jitter)
        if attempt.fault is not ResponseFault.NONE:
            emit_event(
                RESPONSE_FAULTY,
                number=planned.number,
                request_id=attempt.request_id,
                fault=attempt.fault.value,
            )
        self.outcomes.append(Outcome(planned, intended_at, tuple(attempts)))

    def _may_resend(self, attempts: list[Attempt]) -> bool:
        last = attempts[-1]
        if last.is_complete or last.fault not in _RESENDABLE_FAULTS:
            return False
        if last.error_code == QUARANTINED:
            return False
        return len(attempts) <= self._scenario['resending']['resends_max']

    async def _send_once(self, planned: PlannedRequest, key: str) -> Attempt:
        gateway = self._generator.choice(self.gateways)
        request = self._build_request(planned, gateway, key)
        started_at = self._clock.monotonic()
        try:
            response = await self._client.send(request, stream=True)
        except (httpx.ConnectError, httpx.ConnectTimeout):
            return self._make_failed_attempt(
                gateway, started_at, Verdict.NOT_RUN
            )
        except httpx.TransportError:
            return self._make_failed_attempt(
                gateway, started_at, Verdict.MAY_HAVE_RUN
            )
        try:
            return await self._receive(planned, gateway, started_at, response)
        finally:
            await response.aclose()

    def _make_failed_attempt(
        self, gateway: str, started_at: float, verdict: Verdict
    ) -> Attempt:
        return Attempt(gateway, started_at, self._clock.monotonic(), verdict)

    def _build_request(
        self,
        planned: PlannedRequest,
        gateway: str,
        key: str,
    ) -> httpx.Request:
        timeout_s = self._scenario['objective']['timeout_s']
        headers = {
            'Authorization': f'Bearer {planned.key}',
            'X-Timeout-Ms': str(int(timeout_s * _MILLISECONDS_PER_SECOND)),
        }
        path = '/v1/chat/completions'
        if not planned.kind.is_completion:
            headers['Idempotency-Key'] = key
            service = self._scenario['service']
            path = f'/services/{service}/{planned.kind.value}'
        return self._client.build_request(
            'POST',
            f'http://{gateway}{path}',
            json=planned.body,
            headers=headers,
        )

    async def _receive(
        self,
        planned: PlannedRequest,
        gateway: str,
        started_at: float,
        response: httpx.Response,
    ) -> Attempt:
        check = CompletionCheck(
            planned.fingerprint,
            planned.body.get('max_tokens', 0),
            self.gaps.record,
        )
        is_received = await self._read_body(planned, response, check)
        verdict = parse_verdict(response.headers.get(VERDICT_HEADER))
        return Attempt(
            gateway,
            started_at,
            self._clock.monotonic(),
            verdict or Verdict.MAY_HAVE_RUN,
            response.headers.get('x-request-id', ''),
            response.status_code,
            check.error_code,
            is_received and check.is_complete,
            check.fault,
            check.tokens,
            check.first_token_at,
        )

    async def _read_body(
        self,
        planned: PlannedRequest,
        response: httpx.Response,
        check: CompletionCheck,
    ) -> bool:
        """Read the body and return whether it arrived completely."""
        is_streamed = response.is_success and planned.kind is RequestKind.STREAM
        try:
            if is_streamed:
                await self._read_stream(response, check)
            else:
                await self._read_document(planned, response, check)
        except httpx.TransportError:
            return False
        return True

    async def _read_stream(
        self,
        response: httpx.Response,
        check: CompletionCheck,
    ) -> None:
        try:
            async for line in response.aiter_lines():
                check.feed_line(line, self._clock.monotonic())
        finally:
            check.end_stream()

    async def _read_document(
        self,
        planned: PlannedRequest,
        response: httpx.Response,
        check: CompletionCheck,
    ) -> None:
        await response.aread()
        try:
            document = msgspec.json.decode(response.content)
        except msgspec.DecodeError:
            document = None
        if response.is_error:
            check.record_error(document)
        elif planned.kind.is_completion:
            check.check_completion(document, self._clock.monotonic())
        else:
            check.check_filing(document, planned.body['id'])
