"""Read completion requests and write their events."""

from collections.abc import Mapping
from typing import Any

import msgspec

from cassiarail.standins.batch import CompletionRequest
from cassiarail.standins.tokens import (
    count_prompt_tokens,
    fingerprint_body,
    hash_prefix,
)

# A message with this text crashes the engine while ``poison_request`` is on.
POISON_MARKER = '[crash-the-engine]'
DEFAULT_MAX_TOKENS = 512
_EVENT = 'id: {0}\ndata: {1}\n\n'


def parse_work(
    body: Mapping[str, Any] | None,
    request_id: str,
) -> CompletionRequest | None:
    """Return the work that a request asks for, ``None`` if it is malformed."""
    if body is None or not isinstance(body.get('messages'), list):
        return None
    messages = body['messages']
    prompt = ' '.join(str(part.get('content', '')) for part in messages)
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
        poisoned=POISON_MARKER in prompt,
    )


def encode_token_event(
    work: CompletionRequest,
    index: int,
    token: str,
    finish_reason: str | None = None,
) -> bytes:
    """Return the server-sent event of one token or of the end."""
    delta = {'content': token} if token else {}
    choice = {'index': 0, 'delta': delta, 'finish_reason': finish_reason}
    chunk = {'id': work.request_id, 'model': work.model, 'choices': [choice]}
    return _EVENT.format(index, msgspec.json.encode(chunk).decode()).encode()
