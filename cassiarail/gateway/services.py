"""Serve calls of plain services."""

import base64
import functools
import uuid
from collections.abc import Iterable, Mapping

import anyio

from cassiarail.core.verdict import Verdict
from cassiarail.declarations.schema import Match, ServiceDocument
from cassiarail.gateway.endpoints import (
    Call,
    Endpoint,
    EndpointDependencies,
    run_cancellable,
)
from cassiarail.gateway.exceptions import (
    DeadlineExceededError,
    InvalidPathError,
)
from cassiarail.gateway.hooks import RequestFacts
from cassiarail.gateway.requests import check_path
from cassiarail.gateway.service_runs import (
    ServiceDependencies,
    ServiceJob,
    ServiceRun,
)
from cassiarail.store.claims import RecordedResponse, parse_idempotency_key
from cassiarail.targets.backends.service import ServiceCall, ServiceResponse

_IDEMPOTENT_METHODS = frozenset(('GET', 'HEAD', 'PUT', 'DELETE'))
_HOP_BY_HOP_HEADERS = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'content-length',
        'x-request-id',
        'x-verdict',
        'traceparent',
        'tracestate',
    ),
)
# The gateway checks the caller's key; it is never forwarded to targets.
_REQUEST_DROPPED_HEADERS = _HOP_BY_HOP_HEADERS | {
    'authorization',
    'host',
    'expect',
    'x-timeout-ms',
}
_PATH_PREFIX_SEGMENTS = 2


class ServiceEndpoint(Endpoint):
    """Serve ``ANY /services/{service}/{path}``."""

    route = 'service'

    def __init__(
        self, dependencies: EndpointDependencies, services: ServiceDependencies
    ) -> None:
        super().__init__(dependencies)
        self._services = services

    async def serve(self, call: Call) -> None:
        """Validate a call, run it and send the response."""
        caller, directory = self.authenticate(call)
        name = call.scope['path_params']['service']
        service = directory.find_service(caller, name)
        policy = directory.resolve(Match(service=name, caller=caller['name']))
        facts = RequestFacts(
            request_id=call.request_id,
            caller=caller['name'],
            service=name,
            deadline=self.read_deadline(call, policy.timeout_s),
            priority=policy.priority,
            weight=caller.get('weight', 1),
        )
        path = read_target_path(call)
        key = self._read_key(call, service, path)
        service_call = ServiceCall(
            call.scope['method'],
            path,
            filter_headers(call.headers.items(), _REQUEST_DROPPED_HEADERS),
            await self.read_body(call),
        )
        run = ServiceRun(
            self._services,
            ServiceJob(
                facts,
                service_call,
                policy.idle_timeout_s,
                call.trace,
            ),
        )
        await self._run(call, run, key)

    def _read_key(
        self,
        call: Call,
        service: ServiceDocument,
        path: str,
    ) -> uuid.UUID | None:
        """Return the validated key of a call that must not be repeated."""
        if is_idempotent(service, call.scope['method'], path):
            return None
        return parse_idempotency_key(
            call.headers.get('idempotency-key'),
            self.dependencies.clock.now(),
        )

    async def _run(
        self,
        call: Call,
        run: ServiceRun,
        key: uuid.UUID | None,
    ) -> None:
        if key is not None:
            await self._run_at_most_once(call, run, key)
            return
        call.running.caller = run.job.facts.caller
        await run_cancellable(
            call,
            run.job.facts.deadline,
            self.dependencies.clock,
            functools.partial(self._run_idempotent, call, run),
            run.plan.verdicts.combined,
        )

    async def _run_idempotent(self, call: Call, run: ServiceRun) -> None:
        async with self.dependencies.admission.admit(run.job.facts):
            await send_response(call, await run.call_idempotent())

    async def _run_at_most_once(
        self,
        call: Call,
        run: ServiceRun,
        key: uuid.UUID,
    ) -> None:
        """Run a call that continues even if its caller disconnects.

        Its outcome must be recorded for the caller's next attempt, so only
        the deadline ends it.
        """
        facts = run.job.facts
        response = None
        with anyio.move_on_after(
            facts.deadline.remaining(self.dependencies.clock)
        ):
            async with self.dependencies.admission.admit(facts):
                response = await run.call_at_most_once(key)
        if response is None:
            raise DeadlineExceededError(
                'deadline exceeded',
                verdict=run.plan.verdicts.combined(),
            )
        if isinstance(response, ServiceResponse):
            await send_response(call, response)
        else:
            await send_response(call, restore_response(response))


def is_idempotent(service: ServiceDocument, method: str, path: str) -> bool:
    """Return whether a call may be repeated.

    Paths are compared exactly, so that a different encoding of a declared path
    requires a key and is not repeated.
    """
    if method in _IDEMPOTENT_METHODS:
        return True
    return path.partition('?')[0] in service['idempotent_paths']


def read_target_path(call: Call) -> str:
    """Return the path and query for the service, as received."""
    raw = call.scope.get('raw_path') or call.scope['path'].encode()
    path = raw.decode('latin-1').partition('?')[0]
    parts = path.split('/', _PATH_PREFIX_SEGMENTS + 1)
    checked = check_path(f'/{parts[-1]}')
    query = call.scope['query_string'].decode('latin-1')
    if not query:
        return checked
    if not query.isascii() or not query.isprintable() or '#' in query:
        raise InvalidPathError('query contains an unprintable character')
    return f'{checked}?{query}'


def filter_headers(
    pairs: Iterable[tuple[str, str]],
    dropped: frozenset[str],
) -> Mapping[str, str]:
    """Return the headers to forward; join repeated ones by commas."""
    forwarded: dict[str, str] = {}
    for name, text in pairs:
        lowered = name.lower()
        if lowered in dropped:
            continue
        existing = forwarded.get(lowered)
        forwarded[lowered] = text if existing is None else f'{existing}, {text}'
    return forwarded


def restore_response(recorded: RecordedResponse) -> ServiceResponse:
    """Return the response that a claim recorded."""
    return ServiceResponse(
        recorded['status'],
        tuple((name, text) for name, text in recorded['headers']),
        base64.b64decode(recorded['body']),
        Verdict(recorded['verdict']),
    )


async def send_response(call: Call, response: ServiceResponse) -> None:
    """Send the response of a service to the caller."""
    headers = filter_headers(response.headers, _HOP_BY_HOP_HEADERS)
    await call.writer.send_complete(
        response.status,
        response.body,
        response.verdict,
        list(headers.items()),
    )
