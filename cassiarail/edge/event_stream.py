"""Split a stream into server-sent events so that it can be resumed."""

_BOUNDARIES = (b'\n\n', b'\r\n\r\n')
_ID_FIELD = b'id:'


class EventSplitter:
    """Return complete events and record the id of the last one.

    Bytes after the last complete event are buffered, because another target
    resumes an interrupted stream after that event.
    """

    def __init__(self) -> None:
        self.last_id: str | None = None
        self._partial = b''

    def feed(self, received: bytes) -> bytes:
        """Return the bytes up to the end of the last complete event."""
        buffered = self._partial + received
        end = max(
            buffered.rfind(boundary) + len(boundary)
            if boundary in buffered
            else 0
            for boundary in _BOUNDARIES
        )
        complete = buffered[:end]
        self._partial = buffered[end:]
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

    def _record_last_id(self, complete: bytes) -> None:
        for line in reversed(complete.splitlines()):
            if line.startswith(_ID_FIELD):
                self.last_id = line[len(_ID_FIELD) :].strip().decode('latin-1')
                return
