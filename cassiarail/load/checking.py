"""Check every token of an answer against the text that engines generate."""

import re
from collections.abc import Callable
from typing import Any

import msgspec

from cassiarail.load.outcomes import AnswerFault
from cassiarail.standins.batch import FINISH_LENGTH, FINISH_STOP
from cassiarail.standins.tokens import (
    count_natural_tokens,
    make_text,
    make_token,
)

_FIELD = re.compile('(?P<name>[a-z]+): ?(?P<rest>.*)', re.DOTALL)
_DONE = '[DONE]'
_CHARACTERS = len(make_token('', 0))


class CompletionCheck:
    """Follow one answer and find what is wrong with it."""

    def __init__(
        self,
        fingerprint: str,
        max_tokens: int,
        on_gap: Callable[[float], None],
    ) -> None:
        """Take a function that receives the seconds between two tokens."""
        self._fingerprint = fingerprint
        self._max_tokens = max_tokens
        self._on_gap = on_gap
        self._event_id = ''
        self._is_error_event = False
        self._finish_reason = ''
        self._last_at = float(0)
        self.tokens = 0
        self.first_token_at: float | None = None
        self.fault = AnswerFault.NONE
        self.is_complete = False
        self.error_code = ''

    def feed_line(self, line: str, now: float) -> None:
        """Take one line of a stream of server-sent events."""
        field = _FIELD.match(line)
        if field is None:
            if not line:
                self._is_error_event = False
            return
        rest = field['rest']
        if field['name'] == 'id':
            self._event_id = rest
        elif field['name'] == 'event':
            self._is_error_event = rest == 'error'
        elif field['name'] == 'data':
            self._feed_event(rest, now)

    def end_stream(self) -> None:
        """Note the end of a stream; one without ``[DONE]`` was cut.

        The caller of a cut stream knows that it isn't whole and may resend.
        """
        if not self.is_complete and self.fault is AnswerFault.NONE:
            self.fault = AnswerFault.CUT

    def check_whole(self, document: Any, now: float) -> None:
        """Check an answer that was not streamed."""
        try:
            choice = document['choices'][0]
            text = choice['message']['content']
        except (KeyError, IndexError, TypeError):
            self.fault = AnswerFault.BROKEN
            return
        self.first_token_at = now
        self.tokens = len(text) // _CHARACTERS
        self._finish_reason = choice.get('finish_reason') or ''
        if text != make_text(self._fingerprint, self.tokens):
            self.fault = AnswerFault.MISDELIVERED
        self._finish()

    def check_filing(self, document: Any, record_id: str) -> None:
        """Check that a filing's answer names the filing."""
        told = document.get('id') if isinstance(document, dict) else None
        if told != record_id:
            self.fault = AnswerFault.MISDELIVERED
        self.is_complete = self.fault is AnswerFault.NONE

    def take_error(self, document: Any) -> None:
        """Note the code of an error body."""
        self.error_code = _find_code(document)

    def _feed_event(self, text: str, now: float) -> None:
        if text == _DONE:
            self._finish()
            return
        try:
            document = msgspec.json.decode(text)
        except msgspec.DecodeError:
            self.fault = AnswerFault.BROKEN
            return
        if self._is_error_event:
            self.error_code = _find_code(document)
            return
        try:
            choice = document['choices'][0]
            token = choice['delta'].get('content', '')
        except (KeyError, IndexError, TypeError):
            self.fault = AnswerFault.BROKEN
            return
        self._finish_reason = choice.get('finish_reason') or ''
        if token:
            self._take_token(token, now)

    def _take_token(self, token: str, now: float) -> None:
        if self.first_token_at is None:
            self.first_token_at = now
        else:
            self._on_gap(now - self._last_at)
        self._last_at = now
        # A wrong id is a gap or a repetition; a wrong text is another answer.
        if self._event_id != str(self.tokens):
            self._blame(AnswerFault.BROKEN)
        elif token != make_token(self._fingerprint, self.tokens):
            self._blame(AnswerFault.MISDELIVERED)
        self.tokens += 1

    def _blame(self, fault: AnswerFault) -> None:
        if self.fault is AnswerFault.NONE:
            self.fault = fault

    def _finish(self) -> None:
        natural = count_natural_tokens(self._fingerprint)
        lengths = {
            FINISH_STOP: natural,
            FINISH_LENGTH: min(self._max_tokens, natural),
        }
        if lengths.get(self._finish_reason) != self.tokens:
            self._blame(AnswerFault.BROKEN)
        self.is_complete = self.fault is AnswerFault.NONE


def _find_code(document: Any) -> str:
    if not isinstance(document, dict):
        return ''
    error = document.get('error', document)
    return str(error.get('code', '')) if isinstance(error, dict) else ''
