"""Client of plain services."""

from collections.abc import Mapping
from typing import NamedTuple

from cassiarail.core.verdict import Verdict
from cassiarail.targets.backends.base import Hop, Target, read_verdict
from cassiarail.targets.connections import TargetResponse, build_url

_RESPONSE_LIMIT = 8_388_608


class ServiceCall(NamedTuple):
    """Hold a caller's request as it is sent to the service.

    ``path`` starts with a slash, is quoted and includes the query.
    """

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes


class ServiceResponse(NamedTuple):
    """Hold a complete response of a service."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    verdict: Verdict


class PlainService(Target):
    """Send complete requests to plain services."""

    load_path = '/load'

    async def call(
        self,
        address: str,
        hop: Hop,
        call: ServiceCall,
        *,
        fresh: bool = False,
    ) -> ServiceResponse:
        """Send a call and return its complete response."""
        request = self.build_request(
            hop,
            call.method,
            build_url(address, call.path),
            call.body,
            call.headers,
        )
        async with self.send(address, request, fresh=fresh) as response:
            body = await response.read_body(_RESPONSE_LIMIT)
            return ServiceResponse(
                response.status,
                tuple(response.headers.multi_items()),
                body,
                read_verdict(response),
            )

    async def check_response(self, response: TargetResponse) -> None:
        """Accept every status; the caller evaluates it."""
