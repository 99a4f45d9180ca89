"""Translate the platform's HTTP messages and headers."""

import http
import re
from typing import Any

import msgspec

from cassiarail.core.exceptions import RequestError
from cassiarail.edge.dialect import (
    AttemptParameters,
    CallerRequest,
    Dialect,
    EngineActivity,
    Order,
    ReportedLoad,
    ResponseFacts,
)
from cassiarail.edge.registry.configuration import Configuration
from cassiarail.edge.registry.targets import Holdings, ModelVariant, Target
from cassiarail.http1.messages import (
    RequestHead,
    ResponseHead,
    find_header,
    strip_hop_headers,
)
from cassiarail.platform import accounts, documents, headers
from cassiarail.security.keys import parse_bearer

# Thousands of times what an engine holds; sums of them stay below 64 bits.
_MAX_TOKENS = 1_000_000_000
_MS = 1000
_SECONDS = re.compile(r'[0-9]{1,12}(\.[0-9]{0,9})?')
_COUNT = re.compile('[0-9]{1,9}')
_LOAD_COUNTS = 3
_PERCENT = 100
_LOWEST_PRIORITY = 9
_HOST_HEADER = (b'host', b'engine')


class PlatformDialect(Dialect):
    """Convert between the platform's messages and internal types."""

    def decode_request(self, head: RequestHead) -> CallerRequest:
        """Decode a caller's request; raise ``RequestError`` if invalid."""
        request_id = find_header(head.headers, headers.REQUEST_ID)
        if not request_id:
            raise RequestError('the request id is missing')
        host = find_header(head.headers, b'host') or ''
        prompt, output = _parse_token_count(head)
        return CallerRequest(
            request_id=request_id,
            host=host.rpartition(':')[0] if ':' in host else host,
            path=head.target.partition(b'?')[0].decode('latin-1'),
            client_timeout_s=_parse_deadline(head),
            variant=_parse_variant(head),
            prompt_tokens=prompt,
            output_tokens=output,
            prefix_parts=_parse_prefix(head),
            part_tokens=_parse_part_tokens(head),
            length_hint=_parse_length_hint(head),
            key=parse_bearer(find_header(head.headers, headers.AUTHORIZATION)),
        )

    def encode_attempt(
        self,
        head: RequestHead,
        attempt: AttemptParameters,
    ) -> RequestHead:
        """Return the head with what the system sets itself.

        Without client accounts, an authorization header is the target's.
        """
        dropped_names = headers.RESERVED
        if attempt.account is not None:
            dropped_names = dropped_names | {headers.AUTHORIZATION}
        if attempt.resume_after is not None:
            dropped_names = dropped_names | {headers.LAST_EVENT_ID}
        forwarded = [
            header
            for header in strip_hop_headers(head.headers)
            if header[0] not in dropped_names
        ]
        time_left_ms = max(1, int(attempt.time_left_s * _MS))
        forwarded.append((headers.DEADLINE_MS, b'%d' % time_left_ms))
        forwarded.append((headers.EXPECT_INSTANCE, attempt.instance.encode()))
        if attempt.account:
            forwarded.append((headers.TENANT, attempt.account.encode()))
        if attempt.rank is not None:
            rank = min(_LOWEST_PRIORITY, max(0, attempt.rank))
            forwarded.append((headers.PRIORITY, b'%d' % rank))
        if attempt.resume_after is not None:
            forwarded.append(
                (headers.LAST_EVENT_ID, attempt.resume_after.encode())
            )
        return head._replace(headers=forwarded)

    def decode_response(self, head: ResponseHead) -> ResponseFacts:
        """Decode a response's head; 421 has the same meaning as not-run."""
        not_run = find_header(head.headers, headers.NOT_RUN) is not None
        return ResponseFacts(
            request_id=find_header(head.headers, headers.REQUEST_ID),
            did_not_run=not_run or head.status == 421,  # noqa: WPS432
            is_signed=bool(find_header(head.headers, headers.SERVER_STAMP)),
            is_unencoded=(
                find_header(head.headers, b'content-encoding') is None
            ),
            load=_parse_load(find_header(head.headers, headers.SERVER_LOAD)),
            is_leaving=_parse_leaving(head),
            pause_s=_parse_pause(head),
        )

    def decode_target(self, instance: str, document: Any) -> Target:
        """Decode an engine's entry."""
        return documents.decode_target(instance, document)

    def decode_configuration(self, document: Any) -> Configuration:
        """Decode the operator's configuration."""
        return documents.decode_configuration(document)

    def hide_keys(self, document: Any) -> Any:
        """Return a configuration with digests in place of callers' keys."""
        return accounts.hide_keys(document)

    def encode_order(
        self,
        order: Order,
        instance: str,
    ) -> tuple[RequestHead, bytes]:
        """Return the request of an order.

        The engine refuses a delayed order, because its ``expected`` count no
        longer matches the engine's own.
        """
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
                    _HOST_HEADER,
                    (b'content-type', b'application/json'),
                    (headers.EXPECT_INSTANCE, instance.encode()),
                ],
            ),
            msgspec.json.encode(body),
        )

    def encode_report_request(self, instance: str = '') -> RequestHead:
        """Return the request for an engine's report."""
        sent_headers = [_HOST_HEADER]
        if instance:
            sent_headers.append((headers.EXPECT_INSTANCE, instance.encode()))
        return RequestHead(b'GET', b'/v1/report', sent_headers)

    def decode_report(self, body: bytes) -> tuple[int, Holdings, bool]:
        """Decode an engine's report."""
        return documents.decode_report(body)

    def decode_activity(self, body: bytes) -> EngineActivity:
        """Decode the requests that an engine's report lists."""
        return documents.decode_activity(body)


def _parse_deadline(head: RequestHead) -> float | None:
    text = find_header(head.headers, headers.DEADLINE_MS)
    if text is None:
        return None
    try:
        return max(0, float(text) / _MS)
    except ValueError as error:
        raise RequestError('the deadline is not a number') from error


def _parse_variant(head: RequestHead) -> ModelVariant | None:
    text = find_header(head.headers, headers.MODEL)
    if not text:
        return None
    model, _, adapter = text.partition('/')
    return ModelVariant(model, adapter)


def _parse_token_count(head: RequestHead) -> tuple[int, int]:
    """Return both counts; figures after them are ignored."""
    text = find_header(head.headers, headers.TOKEN_COUNT) or '0,0'
    prompt, output, *_rest = [*text.split(','), '']
    try:
        counts = (int(prompt), int(output or 0))
    except ValueError as error:
        raise RequestError('the token count is not two numbers') from error
    if min(counts) < 0 or max(counts) > _MAX_TOKENS:
        raise RequestError('the token count is out of range')
    return counts


def _parse_prefix(head: RequestHead) -> tuple[str, ...]:
    text = find_header(head.headers, headers.PROMPT_PREFIX) or ''
    return tuple(part.partition(':')[0] for part in text.split(',') if part)


def _parse_part_tokens(head: RequestHead) -> tuple[int, ...]:
    """Return the tokens of each part of the prompt; 0 if they aren't stated."""
    text = find_header(head.headers, headers.PROMPT_PREFIX) or ''
    counts = (part.partition(':')[2] for part in text.split(',') if part)
    return tuple(
        int(count) if _COUNT.fullmatch(count) else 0 for count in counts
    )


def _parse_length_hint(head: RequestHead) -> int | None:
    text = find_header(head.headers, headers.LENGTH_HINT) or ''
    return int(text) if _COUNT.fullmatch(text) else None


def _parse_leaving(head: ResponseHead) -> bool:
    text = find_header(head.headers, headers.SERVER_LEAVING) or ''
    return text.strip() == '1'


def _parse_pause(head: ResponseHead) -> float | None:
    """Return the pause that an engine asks for with a 503, in seconds.

    A date, a negative number and what is no number ask for none.
    """
    if head.status != http.HTTPStatus.SERVICE_UNAVAILABLE:
        return None
    text = (find_header(head.headers, headers.RETRY_AFTER) or '').strip()
    if not _SECONDS.fullmatch(text):
        return None
    return float(text) or None


def _parse_load(text: str | None) -> ReportedLoad | None:
    """Return the load; figures after those that are known are ignored."""
    if text is None:
        return None
    figures = text.split(',')
    try:
        running, waiting, slots = (int(part) for part in figures[:_LOAD_COUNTS])
    except ValueError:
        # Without a usable report, this host's own count of requests is the
        # target's load.
        return None
    return ReportedLoad(running, waiting, slots, _parse_slowdown(figures))


def _parse_slowdown(figures: list[str]) -> float | None:
    """Return the fourth figure, a percentage of the usual time of work."""
    if len(figures) <= _LOAD_COUNTS:
        return None
    text = figures[_LOAD_COUNTS].strip()
    if not _SECONDS.fullmatch(text):
        return None
    return float(text) / _PERCENT or None
