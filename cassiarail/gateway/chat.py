"""Serve chat completions, streamed or as one document."""

import functools
from collections.abc import Mapping
from typing import Any

from cassiarail.core.verdict import Verdict
from cassiarail.declarations.schema import CallerDocument, Match
from cassiarail.gateway.completions import (
    CompletionDependencies,
    CompletionJob,
    CompletionStream,
)
from cassiarail.gateway.directory import Directory
from cassiarail.gateway.endpoints import (
    Call,
    Endpoint,
    EndpointDependencies,
    run_cancellable,
)
from cassiarail.gateway.exceptions import (
    InvalidFieldError,
    NotFoundError,
)
from cassiarail.gateway.hooks import RequestFacts
from cassiarail.gateway.relay import DONE_EVENT, EventCursor
from cassiarail.gateway.requests import (
    ChatRequest,
    compute_fingerprint,
    compute_prefix,
    parse_chat,
)


class ChatEndpoint(Endpoint):
    """Serve ``POST /v1/chat/completions``."""

    route = 'chat'

    def __init__(
        self,
        dependencies: EndpointDependencies,
        completions: CompletionDependencies,
    ) -> None:
        super().__init__(dependencies)
        self._completions = completions

    async def serve(self, call: Call) -> None:
        """Validate a request, run it and send the response."""
        if call.scope['method'] != 'POST':
            raise NotFoundError('completions are requested by POST')
        caller, directory = self.authenticate(call)
        request = parse_chat(await self.read_body(call))
        job = self._prepare(call, request, caller, directory)
        call.running.caller = caller['name']
        stream = CompletionStream(self._completions, job)
        try:
            await run_cancellable(
                call,
                job.facts.deadline,
                self.dependencies.clock,
                functools.partial(self._serve, call, request, stream, job),
                stream.plan.verdicts.combined,
            )
        finally:
            self.dependencies.metrics.tokens.inc(stream.cursor.delivered)
            self.dependencies.metrics.bytes.inc(stream.cursor.byte_count)

    def _prepare(
        self,
        call: Call,
        request: ChatRequest,
        caller: CallerDocument,
        directory: Directory,
    ) -> CompletionJob:
        """Resolve the model and the policy that apply to a request."""
        model = directory.find_model(caller, request.model, request.adapter)
        policy = directory.resolve(
            Match(
                model=model['name'],
                service=model['service'],
                caller=caller['name'],
            ),
        )
        if (request.max_tokens or 0) > policy.max_tokens:
            raise InvalidFieldError(
                f'$.max_tokens: at most {policy.max_tokens} for this model',
            )
        requested_priority = request.priority
        facts = RequestFacts(
            request_id=call.request_id,
            caller=caller['name'],
            service=model['service'],
            deadline=self.read_deadline(call, policy.timeout_s),
            model=model['name'],
            adapter=request.adapter,
            prefix=compute_prefix(request),
            fingerprint=compute_fingerprint(caller['name'], request),
            priority=policy.priority
            if requested_priority is None
            else requested_priority,
            weight=caller.get('weight', 1),
        )
        document = {
            'max_tokens': policy.max_tokens,
            **request.document,
            'priority': facts.priority,
        }
        return CompletionJob(
            facts,
            document,
            policy.idle_timeout_s,
            call.trace,
        )

    async def _serve(
        self,
        call: Call,
        request: ChatRequest,
        stream: CompletionStream,
        job: CompletionJob,
    ) -> None:
        observer = _FirstTokenObserver(call, self.dependencies)
        async with self.dependencies.admission.admit(job.facts):
            if request.stream:
                await stream.run(observer.send)
                await call.writer.end_stream(DONE_EVENT)
            else:
                await stream.run(observer.observe)
                await call.writer.send_json(
                    build_completion(call.request_id, request, stream.cursor),
                    Verdict.RAN,
                )


class _FirstTokenObserver:
    """Observe the time to the first token of one request."""

    def __init__(self, call: Call, dependencies: EndpointDependencies) -> None:
        self._call = call
        self._dependencies = dependencies
        self._is_observed = False

    async def send(self, block: bytes) -> None:
        """Relay a block to the caller."""
        await self.observe(block)
        await self._call.writer.send_block(block)

    async def observe(self, block: bytes) -> None:
        """Record the time of the first block."""
        if self._is_observed:
            return
        self._is_observed = True
        self._dependencies.metrics.first_token.observe(
            self._dependencies.clock.monotonic() - self._call.arrived_at,
        )


def build_completion(
    request_id: str,
    request: ChatRequest,
    cursor: EventCursor,
) -> Mapping[str, Any]:
    """Return the response document of a complete stream.

    Engines stream no usage. If the last event carries none, the prompt tokens
    are counted as words.
    """
    usage = cursor.last_document().get('usage')
    prompt_tokens = sum(
        len(message['content'].split()) for message in request.messages
    )
    if isinstance(usage, dict):
        prompt_tokens = usage.get('prompt_tokens', prompt_tokens)
    choice = {
        'index': 0,
        'message': {'role': 'assistant', 'content': cursor.text()},
        'finish_reason': cursor.finish_reason(),
    }
    return {
        'id': request_id,
        'model': request.model,
        'choices': [choice],
        'usage': {
            'prompt_tokens': prompt_tokens,
            'completion_tokens': cursor.delivered,
        },
    }
