"""Bound what one client connection makes this process keep.

Without a bound, the loop reads as much as a client has sent, which can be
megabytes, and keeps each piece until its requests are handled.
"""

import abc
import asyncio
from collections.abc import Callable

from cassiarail.conf.global_defaults import (
    CALLER_AHEAD_BYTES,
    CALLER_UNREAD_BYTES,
)
from cassiarail.http1.client_memory import ConnectionMemory
from cassiarail.http1.states import ConnectionState
from cassiarail.http1.timers import Timer
from cassiarail.limits.byte_budget import ByteBudget

# Holds a request without a long body, and the head of any other.
_PIECE_BYTES = 16_384
_BODY_PIECE_BYTES = 65_536
# One piece is copied before the next is read, on whichever connection.
_PIECE = memoryview(bytearray(_BODY_PIECE_BYTES))
_SHORT_PIECE = _PIECE[:_PIECE_BYTES]


class BoundedConnection(asyncio.BufferedProtocol, abc.ABC):
    """Receive bytes in pieces, and count what waits to be handled or sent.

    Pieces are long only while ``receives_body`` is set. ``ahead_bytes`` follow
    the request that is being handled. ``waiting_since`` is the event loop time
    of the connection's begin, or of the end of its last response, and
    ``head_since`` that of the begin of a head that isn't complete.
    """

    def __init__(
        self,
        budget: ByteBudget,
        count_limit: Callable[[str], None],
    ) -> None:
        """Call ``count_limit`` with the name of a limit that is reached."""
        self._count_limit = count_limit
        self.state = ConnectionState.WAITING
        self.receives_body = False
        self.ahead_bytes = 0
        self.waiting_since = float(0)
        self.head_since: float | None = None
        self._is_paused = False
        self._transport: asyncio.Transport | None = None
        self._loop = asyncio.get_running_loop()
        self._timer = Timer(self._loop)
        self._memory = ConnectionMemory(budget)

    @property
    def is_idle(self) -> bool:
        """Return whether no request has begun and no response is unsent."""
        is_waiting = self.state is ConnectionState.WAITING
        return is_waiting and not self.has_unsent_bytes

    @property
    def is_lingering(self) -> bool:
        """Return whether the client has only to close its end."""
        transport = self._transport
        is_open = transport is not None and not transport.is_closing()
        is_closing = self.state is ConnectionState.CLOSING
        return is_open and is_closing and not self.has_unsent_bytes

    @property
    def still_since(self) -> float | None:
        """Return since when this is idle or the rest of a head is awaited."""
        if self.state is ConnectionState.READING:
            return self.head_since
        return self.waiting_since if self.is_idle else None

    @property
    def has_unsent_bytes(self) -> bool:
        """Return whether a response waits for the client to read."""
        transport = self._transport
        return transport is not None and bool(transport.get_write_buffer_size())

    @abc.abstractmethod
    def data_received(self, received: bytes) -> None:
        """Process a piece."""

    @abc.abstractmethod
    def revoke_ahead(self) -> None:
        """Handle none of the requests that were sent ahead."""

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the memory for the next piece."""
        return _PIECE if self.receives_body else _SHORT_PIECE

    def buffer_updated(self, nbytes: int) -> None:
        """Process the bytes that were read."""
        self.data_received(bytes(_PIECE[:nbytes]))

    def attach(self, transport: asyncio.Transport) -> None:
        """Start receiving from a transport."""
        self._transport = transport
        transport.set_write_buffer_limits(CALLER_UNREAD_BYTES)

    def pause_reading(self) -> None:
        """Leave what the client sends to the kernel."""
        if not self._is_paused and self._transport is not None:
            self._is_paused = True
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Go on receiving."""
        if self._is_paused and self._transport is not None:
            self._is_paused = False
            self._transport.resume_reading()

    def hold_ahead(self, size: int) -> None:
        """Set the bytes that were read ahead, and read none above a bound."""
        self.ahead_bytes = size
        self._memory.hold_ahead(size, self.revoke_ahead)
        if size >= CALLER_AHEAD_BYTES:
            self._count_limit('ahead')
            self.pause_reading()

    def hold_unsent(self) -> None:
        """Count the bytes that the client doesn't read."""
        if self._transport is not None:
            unsent_bytes = self._transport.get_write_buffer_size()
            self._memory.hold_unsent(unsent_bytes, self._transport.abort)

    def drop(self) -> None:
        """Close the connection without waiting for its client."""
        self.state = ConnectionState.CLOSING
        self._timer.cancel()
        if self._transport is not None:
            self._transport.close()
