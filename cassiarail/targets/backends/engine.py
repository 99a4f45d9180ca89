"""Client of model engines."""

import contextlib
from collections.abc import AsyncIterator, Mapping
from typing import Any

import msgspec

from cassiarail.core.exceptions import ConnectFailedError, TargetError
from cassiarail.targets.backends.base import (
    ERROR_BODY_LIMIT,
    REQUEST_ID_HEADER,
    Hop,
    Target,
    read_verdict,
)
from cassiarail.targets.connections import TargetResponse, build_url
from cassiarail.targets.exceptions import (
    MismatchedResponseError,
    StreamUnknownError,
    TargetFailedError,
    TargetRejectedError,
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
        """Start a completion and keep its token stream open."""
        request = self.build_request(
            hop,
            'POST',
            build_url(address, '/v1/chat/completions'),
            msgspec.json.encode(document),
            _JSON_HEADERS,
        )
        async with self.send(address, request) as response:
            _require_same_request(response, hop)
            yield response

    @contextlib.asynccontextmanager
    async def resume_stream(
        self,
        address: str,
        hop: Hop,
        after: int,
    ) -> AsyncIterator[TargetResponse]:
        """Resume a stream that this engine still has.

        ``after`` is the number of tokens already delivered. Raises
        ``StreamUnknownError`` if the engine no longer has the stream.
        """
        path = f'/v1/streams/{hop.request_id}?after={after}'
        request = self.build_request(hop, 'GET', build_url(address, path))
        async with self.send(address, request) as response:
            _require_same_request(response, hop)
            yield response

    async def cancel_stream(self, address: str, hop: Hop) -> bool:
        """Stop a stream; return whether the engine doesn't run it any more.

        An engine that can't be connected to has crashed or is cut off.
        """
        path = f'/v1/streams/{hop.request_id}'
        request = self.build_request(hop, 'DELETE', build_url(address, path))
        try:
            async with self.send(address, request):
                return True
        except (StreamUnknownError, ConnectFailedError):
            return True
        except TargetError:
            return False

    async def check_response(self, response: TargetResponse) -> None:
        """Raise the error that corresponds to the status."""
        if response.status < _FIRST_ERROR_STATUS:
            return
        body = await response.read_body(ERROR_BODY_LIMIT)
        if response.status == _NOT_FOUND:
            raise StreamUnknownError('engine does not have the stream')
        if response.status >= _FIRST_FAILURE_STATUS:
            raise TargetFailedError(
                f'engine responded with status {response.status}',
                verdict=read_verdict(response),
            )
        raise TargetRejectedError(
            body.decode(errors='replace'),
            verdict=read_verdict(response),
            http_status=response.status,
        )


def _require_same_request(response: TargetResponse, hop: Hop) -> None:
    """Raise ``MismatchedResponseError`` if the request ids differ."""
    received_id = response.headers.get(REQUEST_ID_HEADER, hop.request_id)
    if received_id != hop.request_id:
        raise MismatchedResponseError('engine responded to another request')
