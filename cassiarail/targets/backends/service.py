"""Talk to plain services."""

from collections.abc import Mapping
from typing import NamedTuple

from cassiarail.core.verdict import Verdict
from cassiarail.targets.backends.base import Hop, Target, read_verdict
from cassiarail.targets.connections import TargetResponse, build_url

_ANSWER_LIMIT = 8_388_608


class ServiceCall(NamedTuple):
    """Hold a caller's request as it goes to the service.

    ``path`` starts with a slash, is quoted and includes the query.
    """

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes


class ServiceResponse(NamedTuple):
    """Hold a complete answer of a service."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    verdict: Verdict


class PlainService(Target):
    """Send whole requests to plain services."""

    load_path = '/load'

    async def call(
        self,
        address: str,
        hop: Hop,
        call: ServiceCall,
        *,
        fresh: bool = False,
    ) -> ServiceResponse:
        """Send a call and return its complete answer."""
        request = self.build_request(
            hop,
            call.method,
            build_url(address, call.path),
            call.body,
            call.headers,
        )
        async with self.send(address, request, fresh=fresh) as answer:
            body = await answer.read_body(_ANSWER_LIMIT)
            return ServiceResponse(
                answer.status,
                tuple(answer.headers.multi_items()),
                body,
                read_verdict(answer),
            )

    async def check_answer(self, answer: TargetResponse) -> None:
        """Accept every status; the caller judges it."""
