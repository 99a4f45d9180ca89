"""Check every token of a response against the text that engines generate."""

import re
from collections.abc import Callable
from typing import Any

import msgspec

from cassiarail.load.outcomes import ResponseFault
from cassiarail.standins.batch import FINISH_LENGTH, FINISH_STOP
from cassiarail.standins.tokens import (
    count_natural_tokens,
    make_text,
    make_token,
)

_FIELD_PATTERN = re.compile('(?P<name>[a-z]+): ?(?P<rest>.*)', re.DOTALL)
_STREAM_END = '[DONE]'
_CHARACTERS_PER_TOKEN = len(make_token('', 0))


class CompletionCheck:
    """Check one response and record its first fault."""

    def __init__(
        self,
        fingerprint: str,
        max_tokens: int,
        on_gap: Callable[[float], None],
    ) -> None:
        """Call ``on_gap`` with the seconds between each two tokens."""
        self._fingerprint = fingerprint
        self._max_tokens = max_tokens
        self._on_gap = on_gap
        self._event_id = ''
        self._is_error_event = False
        self._finish_reason = ''
        self._last_token_at = float(0)
        self.tokens = 0
        self.first_token_at: float | None = None
        self.fault = ResponseFault.NONE
        self.is_complete = False
        self.error_code = ''

    def feed_line(self, line: str, now: float) -> None:
        """Process one line of a stream of server-sent events."""
        field = _FIELD_PATTERN.match(line)
        if field is None:
            if not line:
                self._is_error_event = False
            return
        text = field['rest']
        if field['name'] == 'id':
            self._event_id = text
        elif field['name'] == 'event':
            self._is_error_event = text == 'error'
        elif field['name'] == 'data':
            self._feed_event(text, now)

    def end_stream(self) -> None:
        """Record the end of a stream; one without ``[DONE]`` is truncated.

        The caller of a truncated stream can detect that and may resend.
        """
        if not self.is_complete and self.fault is ResponseFault.NONE:
            self.fault = ResponseFault.TRUNCATED

    def check_completion(self, document: Any, now: float) -> None:
        """Check a response that was not streamed."""
        try:
            choice = document['choices'][0]
            text = choice['message']['content']
        except (KeyError, IndexError, TypeError):
            self.fault = ResponseFault.BROKEN
            return
        self.first_token_at = now
        self.tokens = len(text) // _CHARACTERS_PER_TOKEN
        self._finish_reason = choice.get('finish_reason') or ''
        if text != make_text(self._fingerprint, self.tokens):
            self.fault = ResponseFault.MISDELIVERED
        self._finish()

    def check_filing(self, document: Any, record_id: str) -> None:
        """Check that the response to a filing contains the id of the filing."""
        received_id = document.get('id') if isinstance(document, dict) else None
        if received_id != record_id:
            self.fault = ResponseFault.MISDELIVERED
        self.is_complete = self.fault is ResponseFault.NONE

    def record_error(self, document: Any) -> None:
        """Record the error code of a response body."""
        self.error_code = _find_code(document)

    def _feed_event(self, text: str, now: float) -> None:
        if text == _STREAM_END:
            self._finish()
            return
        try:
            document = msgspec.json.decode(text)
        except msgspec.DecodeError:
            self.fault = ResponseFault.BROKEN
            return
        if self._is_error_event:
            self.error_code = _find_code(document)
            return
        try:
            choice = document['choices'][0]
            token = choice['delta'].get('content', '')
        except (KeyError, IndexError, TypeError):
            self.fault = ResponseFault.BROKEN
            return
        self._finish_reason = choice.get('finish_reason') or ''
        if token:
            self._check_token(token, now)

    def _check_token(self, token: str, now: float) -> None:
        if self.first_token_at is None:
            self.first_token_at = now
        else:
            self._on_gap(now - self._last_token_at)
        self._last_token_at = now
        # A wrong event id means that tokens are missing or repeated; a wrong
        # text belongs to the response to another request.
        if self._event_id != str(self.tokens):
            self._record_fault(ResponseFault.BROKEN)
        elif token != make_token(self._fingerprint, self.tokens):
            self._record_fault(ResponseFault.MISDELIVERED)
        self.tokens += 1

    def _record_fault(self, fault: ResponseFault) -> None:
        if self.fault is ResponseFault.NONE:
            self.fault = fault

    def _finish(self) -> None:
        natural_tokens = count_natural_tokens(self._fingerprint)
        expected_tokens = {
            FINISH_STOP: natural_tokens,
            FINISH_LENGTH: min(self._max_tokens, natural_tokens),
        }
        if expected_tokens.get(self._finish_reason) != self.tokens:
            self._record_fault(ResponseFault.BROKEN)
        self.is_complete = self.fault is ResponseFault.NONE


def _find_code(document: Any) -> str:
    if not isinstance(document, dict):
        return ''
    error = document.get('error', document)
    return str(error.get('code', '')) if isinstance(error, dict) else ''
