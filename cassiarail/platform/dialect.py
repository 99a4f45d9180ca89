"""Speak the platform's protocol."""

from typing import Any

import msgspec

from cassiarail.core.exceptions import RequestError
from cassiarail.edge.configuration import Configuration
from cassiarail.edge.dialect import (
    AttemptParameters,
    CallerRequest,
    Dialect,
    Order,
    ReportedLoad,
    ResponseFacts,
)
from cassiarail.edge.targets import Holdings, ModelVariant, Target
from cassiarail.http1.messages import (
    RequestHead,
    ResponseHead,
    find_header,
    strip_hop_headers,
)
from cassiarail.platform import documents, headers

_MS = 1000
_LOWEST_PRIORITY = 9
_HOST = (b'host', b'engine')


class PlatformDialect(Dialect):
    """Translate the platform's messages into the product's types."""

    def decode_request(self, head: RequestHead) -> CallerRequest:
        """Read a caller's headers."""
        request_id = find_header(head.headers, headers.REQUEST_ID)
        if not request_id:
            raise RequestError('the request id is missing')
        host = find_header(head.headers, b'host') or ''
        prompt, output = _read_token_count(head)
        return CallerRequest(
            request_id=request_id,
            host=host.rpartition(':')[0] if ':' in host else host,
            path=head.target.partition(b'?')[0].decode('latin-1'),
            client_timeout_s=_read_deadline(head),
            variant=_read_want(head),
            prompt_tokens=prompt,
            output_tokens=output,
            prefix_parts=_read_prefix(head),
        )

    def encode_attempt(
        self,
        head: RequestHead,
        attempt: AttemptParameters,
    ) -> RequestHead:
        """Add the instance, the time left and the priority."""
        dropped = headers.RESERVED
        if attempt.resume_after is not None:
            dropped = dropped | {headers.LAST_EVENT_ID}
        passed = [
            header
            for header in strip_hop_headers(head.headers)
            if header[0] not in dropped
        ]
        left_ms = max(1, int(attempt.time_left_s * _MS))
        passed.append((headers.DEADLINE_MS, b'%d' % left_ms))
        passed.append((headers.EXPECT_INSTANCE, attempt.instance.encode()))
        if attempt.rank is not None:
            rank = min(_LOWEST_PRIORITY, max(0, attempt.rank))
            passed.append((headers.PRIORITY, b'%d' % rank))
        if attempt.resume_after is not None:
            passed.append(
                (headers.LAST_EVENT_ID, attempt.resume_after.encode())
            )
        return head._replace(headers=passed)

    def decode_response(self, head: ResponseHead) -> ResponseFacts:
        """Read an engine's headers; 421 promises the same as not-run."""
        not_run = find_header(head.headers, headers.NOT_RUN) is not None
        return ResponseFacts(
            request_id=find_header(head.headers, headers.REQUEST_ID),
            did_not_run=not_run or head.status == 421,  # noqa: WPS432
            is_signed=bool(find_header(head.headers, headers.SERVER_STAMP)),
            is_unencoded=(
                find_header(head.headers, b'content-encoding') is None
            ),
            load=_read_load(find_header(head.headers, headers.SERVER_LOAD)),
        )

    def decode_target(self, instance: str, document: Any) -> Target:
        """Read an engine's entry."""
        return documents.decode_target(instance, document)

    def decode_configuration(self, document: Any) -> Configuration:
        """Read the operator's configuration."""
        return documents.decode_configuration(document)

    def encode_order(
        self,
        order: Order,
        instance: str,
    ) -> tuple[RequestHead, bytes]:
        """Return an order; ``expected`` makes a late one fail."""
        body: dict[str, object] = {
            'op': 'load' if order.is_load else 'unload',
            'model': order.variant.model,
            'expected': order.expected_count,
            'holder': order.leader,
            'fence': order.fence,
        }
        if order.variant.adapter:
            body['adapter'] = order.variant.adapter
        return (
            RequestHead(
                b'POST',
                b'/v1/order',
                [
                    _HOST,
                    (b'content-type', b'application/json'),
                    (headers.EXPECT_INSTANCE, instance.encode()),
                ],
            ),
            msgspec.json.encode(body),
        )

    def encode_report_request(self) -> RequestHead:
        """Return the request for an engine's report."""
        return RequestHead(b'GET', b'/v1/report', [_HOST])

    def decode_report(self, body: bytes) -> tuple[int, Holdings, bool]:
        """Read an engine's report."""
        return documents.decode_report(body)


def _read_deadline(head: RequestHead) -> float | None:
    text = find_header(head.headers, headers.DEADLINE_MS)
    if text is None:
        return None
    try:
        return max(0, float(text) / _MS)
    except ValueError as error:
        raise RequestError('the deadline is not a number') from error


def _read_want(head: RequestHead) -> ModelVariant | None:
    named = find_header(head.headers, headers.MODEL)
    if not named:
        return None
    model, _, adapter = named.partition('/')
    return ModelVariant(model, adapter)


def _read_token_count(head: RequestHead) -> tuple[int, int]:
    text = find_header(head.headers, headers.TOKEN_COUNT) or '0,0'
    prompt, _, output = text.partition(',')
    try:
        return int(prompt), int(output or 0)
    except ValueError as error:
        raise RequestError('the token count is not two numbers') from error


def _read_prefix(head: RequestHead) -> tuple[str, ...]:
    text = find_header(head.headers, headers.PROMPT_PREFIX) or ''
    return tuple(part.partition(':')[0] for part in text.split(',') if part)


def _read_load(text: str | None) -> ReportedLoad | None:
    if text is None:
        return None
    try:
        running, waiting, slots = (int(part) for part in text.split(','))
    except ValueError:
        # Without a usable report, a target's load is this host's own count.
        return None
    return ReportedLoad(running, waiting, slots)
