"""Split server-sent events so that a stream can be resumed."""

_BOUNDARIES = (b'\n\n', b'\r\n\r\n')
_ID_FIELD = b'id:'


class EventSplitter:
    """Pass whole events on and remember the id of the last one.

    Bytes after the last complete event are kept back: a stream that breaks
    is continued after that event by another target.
    """

    def __init__(self) -> None:
        self.last_id: str | None = None
        self._partial = b''

    def feed(self, received: bytes) -> bytes:
        """Return the bytes up to the end of the last complete event."""
        joined = self._partial + received
        end = max(
            joined.rfind(boundary) + len(boundary) if boundary in joined else 0
            for boundary in _BOUNDARIES
        )
        whole = joined[:end]
        self._partial = joined[end:]
        self._note_id(whole)
        return whole

    def take_rest(self) -> bytes:
        """Return what is left at the end of a complete stream."""
        rest = self._partial
        self._partial = b''
        return rest

    def drop_partial(self) -> None:
        """Forget an event that its target didn't finish."""
        self._partial = b''

    def _note_id(self, whole: bytes) -> None:
        for line in reversed(whole.splitlines()):
            if line.startswith(_ID_FIELD):
                self.last_id = line[len(_ID_FIELD) :].strip().decode('latin-1')
                return
