"""Define the interface through which a handler responds to a request."""

import abc
import enum

from cassiarail.http1.messages import Headers, RequestHead


class ResponseProgress(enum.Enum):
    """Name how far a response got; it ends complete or broken off."""

    NOT_BEGUN = 'not begun'
    BEGUN = 'begun'
    ENDED = 'ended'


class Exchange(abc.ABC):
    """Hold a complete request and send its response.

    ``received_at`` is the event loop time at which the head was read. Data
    sent after the client has disconnected is discarded. ``number`` counts the
    requests of a connection, which may share one exchange. ``status`` is 0
    until the head of the response is sent.
    """

    progress = ResponseProgress.NOT_BEGUN
    number = 0
    status = 0

    head: RequestHead
    body: bytes
    received_at: float
    peer: str

    @property
    @abc.abstractmethod
    def is_connected(self) -> bool:
        """Return whether the client still waits for the response."""

    @abc.abstractmethod
    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response; ``headers`` have no framing headers."""

    @abc.abstractmethod
    def begin_stream(self, status: int, headers: Headers) -> None:
        """Send the head of a response of unknown length."""

    @abc.abstractmethod
    async def send_chunk(self, chunk: bytes) -> None:
        """Send a chunk of the body; wait while the client doesn't read."""

    @abc.abstractmethod
    def finish_stream(self) -> None:
        """Send the end of a complete body."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Close the connection so that the response is seen as incomplete."""
