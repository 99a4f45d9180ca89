"""Track the token events of a stream across connections.

Events are forwarded as received. Only their ``id`` line is parsed; the bodies
are decoded when a stream moves to another target, which needs the text, or at
the end of a response that isn't streamed.
"""

from typing import Any

import msgspec

from cassiarail.core.exceptions import TargetError
from cassiarail.targets.exceptions import StreamBrokenError, StreamGapError

DONE_EVENT = b'data: [DONE]\n\n'
_SEPARATOR = b'\n\n'
_DONE_LINE = b'data: [DONE]'
_ERROR_LINE = b'event: error'
_ID_PREFIX = b'id:'
_DATA_PREFIX = b'data:'
_LINE_END = b'\n'
_MAX_EVENT_BYTES = 1_048_576


class EventCursor:
    """Accept each token event exactly once and in order."""

    def __init__(self) -> None:
        self.delivered = 0
        self.is_complete = False
        self.byte_count = 0
        self.failure: TargetError | None = None
        self._events: list[bytes] = []
        self._buffer = b''

    def start_connection(self) -> None:
        """Discard the state of an earlier connection."""
        self._buffer = b''
        self.failure = None

    def feed(self, chunk: bytes) -> bytes:
        """Return the new complete token events of a chunk.

        An invalid event ends the chunk and sets ``failure``; the events before
        it are returned, because they count as delivered. The final ``[DONE]``
        isn't returned.
        """
        buffered = (self._buffer + chunk).replace(b'\r\n', _LINE_END)
        events = buffered.split(_SEPARATOR)
        self._buffer = events.pop()
        first = len(self._events)
        try:
            self._accept_all(events)
        except TargetError as error:
            self.failure = error
        block = b''.join(
            accepted + _SEPARATOR for accepted in self._events[first:]
        )
        self.byte_count += len(block)
        return block

    def finish_connection(self) -> None:
        """Process the end of a connection.

        A stream whose last event has a finish reason is complete, even if
        ``[DONE]`` was not received.
        """
        self._buffer = b''
        if self._events and self.finish_reason():
            self.is_complete = True

    def finish_reason(self) -> str | None:
        """Return the finish reason of the last event."""
        if not self._events:
            return None
        reason = _first_choice(self._events[-1]).get('finish_reason')
        return reason if isinstance(reason, str) else None

    def last_document(self) -> dict[str, Any]:
        """Return the decoded last event, or an empty document."""
        return decode_event(self._events[-1]) if self._events else {}

    def text(self) -> str:
        """Return the text of all events accepted so far."""
        return ''.join(_read_text(event) for event in self._events)

    def _accept_all(self, events: list[bytes]) -> None:
        for event in events:
            self._accept(event)
            if self.is_complete:
                return
        if len(self._buffer) > _MAX_EVENT_BYTES:
            raise StreamBrokenError(f'event is above {_MAX_EVENT_BYTES} bytes')

    def _accept(self, event: bytes) -> None:
        index = _find_index(event)
        if index is None:
            self._accept_unnumbered(event)
        elif index == self.delivered:
            self._events.append(event)
            self.delivered += 1
        elif index > self.delivered:
            raise StreamGapError(
                f'expected token {self.delivered}, received {index}',
            )

    def _accept_unnumbered(self, event: bytes) -> None:
        if event.startswith(_DONE_LINE):
            if not self.finish_reason():
                raise StreamBrokenError('stream ended without a finish reason')
            self.is_complete = True
        elif event.startswith(_ERROR_LINE):
            raise StreamBrokenError('engine ended the stream with an error')


def decode_event(event: bytes) -> dict[str, Any]:
    """Return the document of an event, empty if it is invalid."""
    for line in event.split(_LINE_END):
        if line.startswith(_DATA_PREFIX):
            try:
                return msgspec.json.decode(
                    line[len(_DATA_PREFIX) :],
                    type=dict[str, Any],
                )
            except msgspec.MsgspecError:
                return {}
    return {}


def _find_index(event: bytes) -> int | None:
    """Return the token index of an event without parsing its body."""
    if event.startswith(_ID_PREFIX):
        start = len(_ID_PREFIX)
    else:
        found = event.find(b'\nid:')
        if found < 0:
            return None
        start = found + len(_ID_PREFIX) + 1
    end = event.find(_LINE_END, start)
    digits = event[start:end] if end >= 0 else event[start:]
    try:
        return int(digits)
    except ValueError as error:
        raise StreamBrokenError('event id is not a number') from error


def _read_text(event: bytes) -> str:
    delta = _first_choice(event).get('delta')
    text = delta.get('content') if isinstance(delta, dict) else None
    return text if isinstance(text, str) else ''


def _first_choice(event: bytes) -> dict[str, Any]:
    choices = decode_event(event).get('choices')
    if not isinstance(choices, list) or not choices:
        return {}
    return choices[0] if isinstance(choices[0], dict) else {}
