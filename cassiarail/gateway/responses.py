"""Send responses and errors to callers, each with its verdict."""

import http
import math
from collections.abc import Sequence
from typing import Any

import msgspec
from starlette.types import Send

from cassiarail.core.exceptions import CassiarailError
from cassiarail.core.verdict import VERDICT_HEADER, Verdict

_Header = tuple[str, str]
_ERROR_EVENT = b'event: error\ndata: %b\n\n'
_JSON = 'application/json'
_EVENT_STREAM = 'text/event-stream'


class ResponseWriter:
    """Send one response and record the code and verdict sent."""

    def __init__(
        self,
        send: Send,
        headers: Sequence[_Header],
        *,
        close: bool = False,
    ) -> None:
        """Accept extra headers; ``close`` ends the connection afterwards."""
        self._send = send
        self._headers = list(headers)
        self._close = close
        self.is_started = False
        self.is_complete = False
        self.code = ''
        self.verdict = Verdict.NOT_RUN

    async def send_json(
        self,
        document: Any,
        verdict: Verdict,
        status: int = http.HTTPStatus.OK,
    ) -> None:
        """Send a JSON document as a complete response."""
        await self.send_complete(
            status,
            msgspec.json.encode(document),
            verdict,
            [('content-type', _JSON)],
        )

    async def send_complete(
        self,
        status: int,
        body: bytes,
        verdict: Verdict,
        headers: Sequence[_Header],
    ) -> None:
        """Send a complete response."""
        length = ('content-length', str(len(body)))
        await self._start(status, verdict, [*headers, length])
        self.is_complete = True
        await self._send({'type': 'http.response.body', 'body': body})

    async def send_block(self, block: bytes) -> None:
        """Send events of a stream; the first call sends the headers."""
        if not self.is_started:
            await self._start(
                http.HTTPStatus.OK,
                Verdict.RAN,
                [
                    ('content-type', _EVENT_STREAM),
                    ('cache-control', 'no-cache'),
                ],
            )
        await self._send(
            {'type': 'http.response.body', 'body': block, 'more_body': True},
        )

    async def end_stream(self, block: bytes) -> None:
        """Send the last events and end the stream."""
        await self.send_block(block)
        self.is_complete = True
        await self._send({'type': 'http.response.body', 'body': b''})

    async def send_error(self, error: CassiarailError) -> None:
        """Send an error, as an event if a stream has started.

        Nothing may follow a response that is complete.
        """
        if self.is_complete:
            return
        document = {'error': error.describe()}
        self.code = error.code
        self.verdict = error.verdict
        if self.is_started:
            encoded = msgspec.json.encode(document)
            await self.end_stream(_ERROR_EVENT % encoded)
            return
        headers = [('content-type', _JSON)]
        if error.retry_after_s is not None:
            headers.append(('retry-after', str(math.ceil(error.retry_after_s))))
        await self.send_complete(
            error.status,
            msgspec.json.encode(document),
            error.verdict,
            headers,
        )

    async def _start(
        self,
        status: int,
        verdict: Verdict,
        headers: Sequence[_Header],
    ) -> None:
        self.is_started = True
        self.verdict = verdict
        self.code = self.code or str(int(status))
        all_headers = [
            *self._headers,
            *headers,
            (VERDICT_HEADER, verdict.value),
        ]
        if self._close:
            all_headers.append(('connection', 'close'))
        await self._send(
            {
                'type': 'http.response.start',
                'status': int(status),
                'headers': [
                    (name.encode('latin-1'), text.encode('latin-1'))
                    for name, text in all_headers
                ],
            },
        )
