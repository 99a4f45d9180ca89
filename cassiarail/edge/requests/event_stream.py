"""Split a stream into server-sent events so that it can be resumed."""

from collections.abc import Iterable

EVENT_ENDINGS = (b'\n\n', b'\r\n\r\n')
_LONGEST_ENDING = 4
_ID_FIELD = b'id:'
# Events of the known deployments are shorter than a kilobyte. A target that
# sends more without the end of an event is faulty.
_MAX_EVENT_BYTES = 262_144


class InvalidStreamError(Exception):
    """Report a stream that can't be relayed any further."""


class EventSplitter:
    """Return complete events and record the id of the last one.

    Bytes after the last complete event are buffered, because another target
    resumes an interrupted stream after that event.
    """

    def __init__(self) -> None:
        self.last_id: str | None = None
        self._partial = b''
        self._resumed_after: str | None = None

    def feed(self, received: bytes) -> bytes:
        """Return the bytes up to the end of the last complete event.

        Raises ``InvalidStreamError`` if an event is too long, or if another
        target repeats an event that the caller has already received.
        """
        buffered = self._partial + received
        end = max(
            buffered.rfind(boundary) + len(boundary)
            if boundary in buffered
            else 0
            for boundary in EVENT_ENDINGS
        )
        complete = buffered[:end]
        self._partial = buffered[end:]
        if len(self._partial) > _MAX_EVENT_BYTES:
            raise InvalidStreamError('event is too long')
        if self._resumed_after is not None and complete:
            self._check_resumption(complete, self._resumed_after)
        self._record_last_id(complete)
        return complete

    def flush(self) -> bytes:
        """Return the buffered bytes at the end of a complete stream."""
        remainder = self._partial
        self._partial = b''
        return remainder

    def discard_partial(self) -> None:
        """Discard an event that its target didn't finish."""
        self._partial = b''
        self._resumed_after = self.last_id

    def _check_resumption(self, complete: bytes, after: str) -> None:
        """Check that the first id of another target follows the last one."""
        first_id = _find_id(complete.splitlines())
        if first_id is None:
            return
        self._resumed_after = None
        is_comparable = first_id.isdecimal() and after.isdecimal()
        if is_comparable and int(first_id) <= int(after):
            raise InvalidStreamError('the resumed stream repeats events')

    def _record_last_id(self, complete: bytes) -> None:
        last_id = _find_id(reversed(complete.splitlines()))
        if last_id is not None:
            self.last_id = last_id


class StreamProgress:
    """Track when the last event ended and whether the bytes end with one."""

    def __init__(self, now: float) -> None:
        self.last_event_at = now
        self.is_between_events = True
        self.has_events = False
        self._tail = b''

    def record(self, chunk: bytes, now: float) -> None:
        """Record received bytes; only the end of an event is progress."""
        self._tail = (self._tail + chunk)[-_LONGEST_ENDING:]
        self.is_between_events = self._tail.endswith(EVENT_ENDINGS)
        if any(ending in chunk for ending in EVENT_ENDINGS) or (
            self.is_between_events
        ):
            self.last_event_at = now
            self.has_events = True


def _find_id(lines: Iterable[bytes]) -> str | None:
    for line in lines:
        if line.startswith(_ID_FIELD):
            return line[len(_ID_FIELD) :].strip().decode('latin-1')
    return None
