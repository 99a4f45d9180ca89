"""Talk to model engines."""

import contextlib
from collections.abc import AsyncIterator, Mapping
from typing import Any

import msgspec

from cassiarail.core.exceptions import TargetError
from cassiarail.targets.backends.base import (
    ERROR_BODY_LIMIT,
    REQUEST_ID_HEADER,
    Hop,
    Target,
    read_verdict,
)
from cassiarail.targets.connections import TargetResponse, build_url
from cassiarail.targets.exceptions import (
    StreamUnknownError,
    TargetFailedError,
    TargetRejectedError,
    WrongAnswerError,
)

_JSON_HEADERS = {'content-type': 'application/json'}  # noqa: WPS407 - read only
_FIRST_ERROR_STATUS = 400
_FIRST_FAILURE_STATUS = 500
_NOT_FOUND = 404


class Engine(Target):
    """Start, resume and cancel token streams at engines."""

    load_path = '/v1/load'

    @contextlib.asynccontextmanager
    async def open_stream(
        self,
        address: str,
        hop: Hop,
        document: Mapping[str, Any],
    ) -> AsyncIterator[TargetResponse]:
        """Start a completion and hold its token stream open."""
        request = self.build_request(
            hop,
            'POST',
            build_url(address, '/v1/chat/completions'),
            msgspec.json.encode(document),
            _JSON_HEADERS,
        )
        async with self.send(address, request) as answer:
            _require_same_request(answer, hop)
            yield answer

    @contextlib.asynccontextmanager
    async def resume_stream(
        self,
        address: str,
        hop: Hop,
        after: int,
    ) -> AsyncIterator[TargetResponse]:
        """Continue a stream that this engine still holds.

        ``after`` is the number of tokens already delivered. Raises
        ``StreamUnknownError`` if the engine no longer has the stream.
        """
        path = f'/v1/streams/{hop.request_id}?after={after}'
        request = self.build_request(hop, 'GET', build_url(address, path))
        async with self.send(address, request) as answer:
            _require_same_request(answer, hop)
            yield answer

    async def cancel_stream(self, address: str, hop: Hop) -> None:
        """Ask an engine to stop a stream; failures are of no consequence."""
        path = f'/v1/streams/{hop.request_id}'
        request = self.build_request(hop, 'DELETE', build_url(address, path))
        with contextlib.suppress(TargetError):
            async with self.send(address, request):
                return

    async def check_answer(self, answer: TargetResponse) -> None:
        """Raise the error that the status stands for."""
        if answer.status < _FIRST_ERROR_STATUS:
            return
        body = await answer.read_body(ERROR_BODY_LIMIT)
        if answer.status == _NOT_FOUND:
            raise StreamUnknownError('engine does not hold the stream')
        if answer.status >= _FIRST_FAILURE_STATUS:
            raise TargetFailedError(
                f'engine answered {answer.status}',
                verdict=read_verdict(answer),
            )
        raise TargetRejectedError(
            body.decode(errors='replace'),
            verdict=read_verdict(answer),
            http_status=answer.status,
        )


def _require_same_request(answer: TargetResponse, hop: Hop) -> None:
    """Refuse an answer that names another request than the one sent."""
    named = answer.headers.get(REQUEST_ID_HEADER, hop.request_id)
    if named != hop.request_id:
        raise WrongAnswerError('engine answered another request')
