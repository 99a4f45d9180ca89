"""Read the requests of one client connection within its limits."""

import abc
from collections.abc import Callable

import h11

from cassiarail.http1.assembly import (
    ClientLimits,
    RequestAssembler,
    UnreadRequestError,
    build_timeout_error,
)
from cassiarail.http1.bounded_connections import BoundedConnection
from cassiarail.http1.client_memory import build_memory_error
from cassiarail.http1.parsing import build_parser
from cassiarail.http1.states import ConnectionState
from cassiarail.http1.turns import Turn, TurnPasses
from cassiarail.limits.byte_budget import ByteBudget

# One piece may hold thousands of chunks. These take less than a millisecond to
# parse; the rest waits for the connection's next turn.
EVENTS_PER_TURN = 32


class RequestReader(BoundedConnection):
    """Assemble requests in turns with the other connections.

    ``received_at`` is the event loop time at which the last head was read.
    """

    def __init__(
        self,
        limits: ClientLimits,
        budget: ByteBudget,
        turns: TurnPasses,
        count_limit: Callable[[str], None],
    ) -> None:
        """Call ``count_limit`` with the name of a limit that is reached."""
        super().__init__(budget, count_limit)
        self.received_at = float(0)
        self._limits = limits
        self._parser = build_parser(limits)
        self._assembler = RequestAssembler()
        self._turn = Turn(turns, self._take_turn)
        self._is_starved = False

    @abc.abstractmethod
    def start_response(self) -> None:
        """Handle the request that the assembler holds."""

    @abc.abstractmethod
    def send_continue(self) -> None:
        """Tell the client to send the body, if it waits for that."""

    @abc.abstractmethod
    def refuse(self, error: UnreadRequestError) -> None:
        """Respond to a request that was not read, then close."""

    def refuse_slow(self) -> None:
        """Refuse a request whose client is too slow."""
        self.refuse(build_timeout_error())

    def refuse_stale(self) -> None:
        """Refuse a request whose memory others need."""
        self.refuse(build_memory_error())

    def begin_request(self) -> None:
        """Read the next request."""
        self.state = ConnectionState.READING
        self.head_since = self._loop.time()
        self._timer.set(self._limits.read_timeout_s, self.refuse_slow)
        self.read_request()

    def read_request(self) -> None:
        """Parse what was received, a bounded part of it in one turn."""
        for _ in range(EVENTS_PER_TURN):
            if self.state is not ConnectionState.READING:
                return
            try:
                self._read_event()
            except h11.RemoteProtocolError as error:
                self.refuse(
                    UnreadRequestError(error.error_status_hint, str(error)),
                )
            except UnreadRequestError as error:
                self.refuse(error)
            if self._is_starved:
                return
        if self.state is ConnectionState.READING:
            self._wait_for_turn()

    def read_buffered(self) -> None:
        """Parse all that was received, as there will be no other turn."""
        self._turn.leave()
        self.read_request()
        while self._turn.is_awaited:
            self._turn.leave()
            self.read_request()

    def _take_turn(self) -> None:
        """Go on with a body, or with a request that was sent ahead."""
        if self.receives_body:
            self.read_request()
        else:
            self.begin_request()

    def _read_event(self) -> None:
        event = self._parser.next_event()
        self._is_starved = (
            event is h11.NEED_DATA
            or event is h11.PAUSED
            or isinstance(event, h11.ConnectionClosed)
        )
        if event is h11.NEED_DATA:
            self._await_bytes()
        elif not self._is_starved:
            self._process_event(event)

    def _wait_for_turn(self) -> None:
        """Let others have their turns before the rest is parsed."""
        self._count_limit('turns')
        self.pause_reading()
        self.ahead_bytes = len(self._parser.trailing_data[0])
        self._memory.hold_ahead(self.ahead_bytes, self.revoke_ahead)
        if self.state is ConnectionState.READING:
            self._turn.wait()

    def _process_event(self, event: object) -> None:
        if isinstance(event, h11.Request):
            self.head_since = None
            self.received_at = self._loop.time()
            self._assembler.begin(event, self._limits)
            self.receives_body = True
            self._count_request(self._assembler.held_bytes)
        elif isinstance(event, h11.Data):
            held_bytes = self._assembler.held_bytes
            self._assembler.add(event.data, self._limits)
            self._count_request(self._assembler.held_bytes - held_bytes)
        elif isinstance(event, h11.EndOfMessage):
            self._memory.keep_body()
            self.start_response()

    def _count_request(self, added_bytes: int) -> None:
        self._memory.take_body(added_bytes, self.refuse_stale)

    def _await_bytes(self) -> None:
        """Wait for the rest of a request."""
        self.send_continue()
        unread_bytes = len(self._parser.trailing_data[0])
        self._memory.hold_ahead(unread_bytes, self.revoke_ahead)
        self.resume_reading()
