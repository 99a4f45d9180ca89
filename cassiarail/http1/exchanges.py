"""Give a handler one request and the way to answer it."""

import abc

from cassiarail.http1.messages import Headers, RequestHead


class Exchange(abc.ABC):
    """Hold a request that was read whole, and send its answer.

    ``received_at`` is the time of the event loop at which the head was
    read. Everything sent after the client has left is dropped.
    """

    head: RequestHead
    body: bytes
    received_at: float
    peer: str

    @abc.abstractmethod
    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer; ``headers`` hold no framing."""

    @abc.abstractmethod
    def begin_stream(self, status: int, headers: Headers) -> None:
        """Send the head of an answer whose length is unknown."""

    @abc.abstractmethod
    async def send_chunk(self, piece: bytes) -> None:
        """Send bytes of the body; wait while the client doesn't read."""

    @abc.abstractmethod
    def finish_stream(self) -> None:
        """End the body as complete."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Close the connection so that the answer looks incomplete."""
