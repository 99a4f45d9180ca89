"""Parse completion requests and encode their events."""

from collections.abc import Mapping
from typing import Any

import msgspec

from cassiarail.standins.batch import CompletionRequest
from cassiarail.standins.tokens import (
    count_prompt_tokens,
    fingerprint_body,
    hash_prefix,
)

# A prompt with this text crashes the engine while ``poison_request`` is on.
POISON_MARKER = '[crash-the-engine]'
DEFAULT_MAX_TOKENS = 512
_EVENT_TEMPLATE = 'id: {0}\ndata: {1}\n\n'


def parse_completion_request(
    body: Mapping[str, Any] | None,
    request_id: str,
) -> CompletionRequest | None:
    """Parse a request body; return ``None`` if it is malformed."""
    if body is None or not isinstance(body.get('messages'), list):
        return None
    messages = body['messages']
    prompt = ' '.join(str(message.get('content', '')) for message in messages)
    fingerprint = fingerprint_body(body)
    model = str(body.get('model', ''))
    return CompletionRequest(
        request_id=request_id or fingerprint,
        model=model,
        adapter=str(body.get('adapter') or ''),
        fingerprint=fingerprint,
        prefix=hash_prefix(model, messages),
        prompt_tokens=count_prompt_tokens(prompt),
        max_tokens=int(body.get('max_tokens') or DEFAULT_MAX_TOKENS),
        priority=int(body.get('priority') or 0),
        resume_after=int(body.get('resume_after') or 0),
        generated=str(body.get('generated') or ''),
        is_poisoned=POISON_MARKER in prompt,
    )


def encode_token_event(
    completion: CompletionRequest,
    index: int,
    token: str,
    finish_reason: str | None = None,
) -> bytes:
    """Return the server-sent event of one token or of the end of the text."""
    delta = {'content': token} if token else {}
    choice = {'index': 0, 'delta': delta, 'finish_reason': finish_reason}
    chunk = {
        'id': completion.request_id,
        'model': completion.model,
        'choices': [choice],
    }
    return _EVENT_TEMPLATE.format(
        index, msgspec.json.encode(chunk).decode()
    ).encode()
