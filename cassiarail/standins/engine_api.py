"""Serve the HTTP interface of an engine stand-in."""

import base64
import binascii
from collections.abc import AsyncIterator

import msgspec
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import BaseRoute, Route, Router

from cassiarail.standins import responses
from cassiarail.standins.batch import Generation
from cassiarail.standins.completions import (
    encode_token_event,
    parse_completion_request,
)
from cassiarail.standins.engine import Engine
from cassiarail.standins.faults import FaultName
from cassiarail.standins.holdings import parse_order

_RESPONSE_LOST_SHARE = 0.5


class KvBlock(msgspec.Struct):
    """Hold an exported prefix; only engines read its content."""

    model: str
    prefix: str
    tokens: int


class EngineApi:
    """Handle the HTTP requests to one engine."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine
        self._dependencies = engine.dependencies
        self.application = Router(routes=self._list_routes())

    def _list_routes(self) -> list[BaseRoute]:
        return [
            Route(
                '/v1/chat/completions',
                self._handle_completion,
                methods=['POST'],
            ),
            Route('/v1/streams/{request}', self._resume, methods=['GET']),
            Route('/v1/streams/{request}', self._cancel, methods=['DELETE']),
            Route('/v1/load', self._report_load),
            Route('/v1/cache-events', self._report_cache),
            Route('/admin/orders', self._accept_order, methods=['POST']),
            Route('/admin/state', self._report_state),
            Route('/admin/kv/export', self._export_kv, methods=['POST']),
            Route('/admin/kv/import', self._import_kv, methods=['POST']),
        ]

    def _check_running(self) -> None:
        if self._engine.is_down:
            raise responses.BrokenConnectionError('target is down')

    async def _handle_completion(self, request: Request) -> Response:
        self._check_running()
        body = await responses.read_json(request)
        completion = parse_completion_request(
            body, request.headers.get('x-request-id', '')
        )
        if body is None or completion is None:
            return responses.build_refusal(
                'bad_request', responses.STATUS_BAD_REQUEST
            )
        engine = self._engine
        self._dependencies.records.record_arrival(
            engine.settings.name,
            engine.holdings.instance,
            completion.request_id,
        )
        reason = engine.find_refusal(completion)
        if reason:
            return responses.build_refusal(reason)
        generation = engine.start_generation(completion)
        if body.get('stream'):
            return self._stream(generation, completion.resume_after)
        return await self._build_complete_response(generation)

    def _stream(self, generation: Generation, first_index: int) -> Response:
        return StreamingResponse(
            self._iterate_events(generation, first_index),
            media_type='text/event-stream',
            headers={'Cache-Control': 'no-store'},
        )

    async def _iterate_events(
        self,
        generation: Generation,
        first_index: int,
    ) -> AsyncIterator[bytes]:
        generation.readers += 1
        try:
            async for event in self._read_events(generation, first_index):
                yield event
        finally:
            generation.readers -= 1
            generation.abandoned_at = self._dependencies.clock.monotonic()

    async def _read_events(
        self,
        generation: Generation,
        first_index: int,
    ) -> AsyncIterator[bytes]:
        index = first_index
        token = await generation.read_token(index)
        while token is not None:
            yield encode_token_event(generation.completion, index, token)
            index += 1
            token = await generation.read_token(index)
        if generation.failure:
            raise responses.BrokenConnectionError(generation.failure)
        reason = generation.finish_reason
        yield encode_token_event(generation.completion, index, '', reason)
        yield b'data: [DONE]\n\n'

    async def _build_complete_response(
        self, generation: Generation
    ) -> Response:
        completion = generation.completion
        generation.readers += 1
        # No text reaches this index, so the call waits for the end of the text.
        await generation.read_token(completion.max_tokens)
        if generation.failure:
            raise responses.BrokenConnectionError(generation.failure)
        text = ''.join(generation.tokens)
        choice = {
            'index': 0,
            'message': {'role': 'assistant', 'content': text},
            'finish_reason': generation.finish_reason,
        }
        usage = {
            'prompt_tokens': completion.prompt_tokens,
            'completion_tokens': len(generation.tokens),
        }
        return responses.build_json_response(
            {
                'id': completion.request_id,
                'model': completion.model,
                'choices': [choice],
                'usage': usage,
            },
        )

    async def _resume(self, request: Request) -> Response:
        self._check_running()
        generation = self._engine.streams.get(request.path_params['request'])
        after = int(request.query_params.get('after', '0'))
        if generation is None or after < generation.completion.resume_after:
            return responses.build_refusal(
                'unknown_stream', responses.STATUS_NOT_FOUND
            )
        return self._stream(generation, after)

    async def _cancel(self, request: Request) -> Response:
        self._check_running()
        if not self._engine.cancel(request.path_params['request']):
            return responses.build_refusal(
                'unknown_stream', responses.STATUS_NOT_FOUND
            )
        return responses.build_json_response({'cancelled': True})

    async def _report_load(self, request: Request) -> Response:
        self._check_running()
        engine = self._engine
        engine.sample_load()
        return responses.build_json_response(
            engine.loads.describe(engine.is_leaving)
        )

    async def _report_cache(self, request: Request) -> Response:
        self._check_running()
        after = int(request.query_params.get('after', '0'))
        events = self._engine.prefixes.list_events(after)
        return responses.build_json_response(
            {'events': [event._asdict() for event in events]},
        )

    async def _accept_order(self, request: Request) -> Response:
        self._check_running()
        holdings = self._engine.holdings
        body = await responses.read_json(request)
        try:
            order = parse_order(body or {})
        except (KeyError, TypeError, ValueError):
            return responses.build_refusal(
                'bad_request', responses.STATUS_BAD_REQUEST
            )
        faults = self._dependencies.faults
        name = self._engine.settings.name
        if faults.should_trigger(FaultName.LOST_ORDERS, name):
            # Either the order is lost or only its response.
            if self._dependencies.generator.random() < _RESPONSE_LOST_SHARE:
                self._engine.accept_order(order)
            raise responses.BrokenConnectionError('order lost')
        if faults.should_trigger(FaultName.LATE_ORDERS, name):
            await self._dependencies.clock.sleep(
                faults.get_delay_s(FaultName.LATE_ORDERS, name),
            )
        if holdings.is_closed:
            raise responses.BrokenConnectionError('target restarted')
        reason = self._engine.accept_order(order)
        if reason:
            return responses.build_refusal(reason, responses.STATUS_CONFLICT)
        return responses.build_json_response(
            {'accepted': True}, responses.STATUS_ACCEPTED
        )

    async def _report_state(self, request: Request) -> Response:
        self._check_running()
        return responses.build_json_response(self._engine.describe_state())

    async def _export_kv(self, request: Request) -> Response:
        self._check_running()
        body = await responses.read_json(request) or {}
        model = str(body.get('model'))
        prefix = str(body.get('prefix'))
        tokens = self._engine.prefixes.count_tokens(model, prefix)
        if not tokens:
            return responses.build_refusal(
                'unknown_prefix', responses.STATUS_NOT_FOUND
            )
        block = msgspec.json.encode(KvBlock(model, prefix, tokens))
        encoded = base64.b64encode(block).decode()
        return responses.build_json_response(
            {'model': model, 'prefix': prefix, 'block': encoded},
        )

    async def _import_kv(self, request: Request) -> Response:
        self._check_running()
        body = await responses.read_json(request) or {}
        try:
            encoded = base64.b64decode(str(body.get('block')), validate=True)
        except binascii.Error:
            return responses.build_refusal(
                'bad_block', responses.STATUS_BAD_REQUEST
            )
        try:
            block = msgspec.json.decode(encoded, type=KvBlock)
        except msgspec.DecodeError:
            return responses.build_refusal(
                'bad_block', responses.STATUS_BAD_REQUEST
            )
        if self._engine.holdings.find_version(block.model) is None:
            return responses.build_refusal('not_loaded')
        self._engine.prefixes.store(block.model, block.prefix, block.tokens)
        return responses.build_json_response({'imported': True})
