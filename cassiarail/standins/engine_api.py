"""Serve the HTTP interface of an engine stand-in."""

import base64
import binascii
from collections.abc import AsyncIterator

import msgspec
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import BaseRoute, Route, Router

from cassiarail.standins import answers
from cassiarail.standins.batch import Generation
from cassiarail.standins.completions import encode_token_event, parse_work
from cassiarail.standins.engine import Engine
from cassiarail.standins.faults import FaultName
from cassiarail.standins.holdings import parse_order

_ANSWER_LOST_SHARE = 0.5


class KvBlock(msgspec.Struct):
    """Hold an exported prefix; opaque to everything but engines."""

    model: str
    prefix: str
    tokens: int


class EngineApi:
    """Answer the requests to one engine."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine
        self._environment = engine.environment
        self.application = Router(routes=self._list_routes())

    def _list_routes(self) -> list[BaseRoute]:
        return [
            Route('/v1/chat/completions', self._complete, methods=['POST']),
            Route('/v1/streams/{request}', self._resume, methods=['GET']),
            Route('/v1/streams/{request}', self._cancel, methods=['DELETE']),
            Route('/v1/load', self._report_load),
            Route('/v1/cache-events', self._report_cache),
            Route('/admin/orders', self._take_order, methods=['POST']),
            Route('/admin/state', self._report_state),
            Route('/admin/kv/export', self._export_kv, methods=['POST']),
            Route('/admin/kv/import', self._import_kv, methods=['POST']),
        ]

    def _require_up(self) -> None:
        if self._engine.is_down:
            raise answers.BrokenConnectionError('target is down')

    async def _complete(self, request: Request) -> Response:
        self._require_up()
        body = await answers.read_json(request)
        work = parse_work(body, request.headers.get('x-request-id', ''))
        if body is None or work is None:
            return answers.refuse('bad_request', answers.STATUS_BAD_REQUEST)
        engine = self._engine
        self._environment.records.record_arrival(
            engine.settings.name,
            engine.holdings.instance,
            work.request_id,
        )
        reason = engine.find_refusal(work)
        if reason:
            return answers.refuse(reason)
        generation = engine.begin(work)
        if body.get('stream'):
            return self._stream(generation, work.resume_after)
        return await self._answer_whole(generation)

    def _stream(self, generation: Generation, first: int) -> Response:
        return StreamingResponse(
            self._iterate_events(generation, first),
            media_type='text/event-stream',
            headers={'Cache-Control': 'no-store'},
        )

    async def _iterate_events(
        self,
        generation: Generation,
        first: int,
    ) -> AsyncIterator[bytes]:
        generation.readers += 1
        try:
            async for event in self._read_events(generation, first):
                yield event
        finally:
            generation.readers -= 1
            generation.abandoned_at = self._environment.clock.monotonic()

    async def _read_events(
        self,
        generation: Generation,
        first: int,
    ) -> AsyncIterator[bytes]:
        index = first
        token = await generation.read_token(index)
        while token is not None:
            yield encode_token_event(generation.work, index, token)
            index += 1
            token = await generation.read_token(index)
        if generation.failure:
            raise answers.BrokenConnectionError(generation.failure)
        reason = generation.finish_reason
        yield encode_token_event(generation.work, index, '', reason)
        yield b'data: [DONE]\n\n'

    async def _answer_whole(self, generation: Generation) -> Response:
        work = generation.work
        generation.readers += 1
        # No text has a token at this index, so this waits for the end.
        await generation.read_token(work.max_tokens)
        if generation.failure:
            raise answers.BrokenConnectionError(generation.failure)
        text = ''.join(generation.tokens)
        choice = {
            'index': 0,
            'message': {'role': 'assistant', 'content': text},
            'finish_reason': generation.finish_reason,
        }
        usage = {
            'prompt_tokens': work.prompt_tokens,
            'completion_tokens': len(generation.tokens),
        }
        return answers.answer_json(
            {
                'id': work.request_id,
                'model': work.model,
                'choices': [choice],
                'usage': usage,
            },
        )

    async def _resume(self, request: Request) -> Response:
        self._require_up()
        generation = self._engine.streams.get(request.path_params['request'])
        after = int(request.query_params.get('after', '0'))
        if generation is None or after < generation.work.resume_after:
            return answers.refuse('unknown_stream', answers.STATUS_NOT_FOUND)
        return self._stream(generation, after)

    async def _cancel(self, request: Request) -> Response:
        self._require_up()
        if not self._engine.cancel(request.path_params['request']):
            return answers.refuse('unknown_stream', answers.STATUS_NOT_FOUND)
        return answers.answer_json({'cancelled': True})

    async def _report_load(self, request: Request) -> Response:
        self._require_up()
        engine = self._engine
        engine.sample_load()
        return answers.answer_json(engine.loads.describe(engine.is_leaving))

    async def _report_cache(self, request: Request) -> Response:
        self._require_up()
        after = int(request.query_params.get('after', '0'))
        events = self._engine.prefixes.list_events(after)
        return answers.answer_json(
            {'events': [event._asdict() for event in events]},
        )

    async def _take_order(self, request: Request) -> Response:
        self._require_up()
        holdings = self._engine.holdings
        body = await answers.read_json(request)
        try:
            order = parse_order(body or {})
        except (KeyError, TypeError, ValueError):
            return answers.refuse('bad_request', answers.STATUS_BAD_REQUEST)
        faults = self._environment.faults
        name = self._engine.settings.name
        if faults.draw(FaultName.LOST_ORDERS, name):
            # Either the order or only its answer is lost.
            if self._environment.generator.random() < _ANSWER_LOST_SHARE:
                self._engine.accept_order(order)
            raise answers.BrokenConnectionError('order lost')
        if faults.draw(FaultName.LATE_ORDERS, name):
            await self._environment.clock.sleep(
                faults.delay_of(FaultName.LATE_ORDERS, name),
            )
        if holdings.is_closed:
            raise answers.BrokenConnectionError('target restarted')
        reason = self._engine.accept_order(order)
        if reason:
            return answers.refuse(reason, answers.STATUS_CONFLICT)
        return answers.answer_json({'accepted': True}, answers.STATUS_ACCEPTED)

    async def _report_state(self, request: Request) -> Response:
        self._require_up()
        return answers.answer_json(self._engine.describe_state())

    async def _export_kv(self, request: Request) -> Response:
        self._require_up()
        body = await answers.read_json(request) or {}
        model = str(body.get('model'))
        prefix = str(body.get('prefix'))
        tokens = self._engine.prefixes.count_tokens(model, prefix)
        if not tokens:
            return answers.refuse('unknown_prefix', answers.STATUS_NOT_FOUND)
        block = msgspec.json.encode(KvBlock(model, prefix, tokens))
        text = base64.b64encode(block).decode()
        return answers.answer_json(
            {'model': model, 'prefix': prefix, 'block': text},
        )

    async def _import_kv(self, request: Request) -> Response:
        self._require_up()
        body = await answers.read_json(request) or {}
        try:
            text = base64.b64decode(str(body.get('block')), validate=True)
        except binascii.Error:
            return answers.refuse('bad_block', answers.STATUS_BAD_REQUEST)
        try:
            block = msgspec.json.decode(text, type=KvBlock)
        except msgspec.DecodeError:
            return answers.refuse('bad_block', answers.STATUS_BAD_REQUEST)
        if self._engine.holdings.find_version(block.model) is None:
            return answers.refuse('not_loaded')
        self._engine.prefixes.store(block.model, block.prefix, block.tokens)
        return answers.answer_json({'imported': True})
