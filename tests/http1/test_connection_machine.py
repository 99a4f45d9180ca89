"""Test that each request that was read whole gets a complete response.

A state machine mixes what one caller sends and reads with the steps of a stop.
"""

import asyncio

import h11
import hypothesis
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    precondition,
    rule,
    run_state_machine_as_test,
)

from cassiarail.core.loops import VirtualTimeLoop
from cassiarail.http1.assembly import ClientLimits
from cassiarail.http1.exchanges import ResponseProgress
from cassiarail.http1.listener import Http1Listener
from cassiarail.http1.pool import Address
from cassiarail.http1.server_connections import ConnectionState

unlikely = st.integers(0, 9).map(lambda number: number == 9)
LARGE = bytes(100_000)
HANDLERS = ('answer', 'stream', 'large', 'fail', 'break', 'wait', 'hang')
FINAL = (ConnectionState.CLOSING, ConnectionState.CLOSED)


class CallerTransport(asyncio.Transport):
    """Play the kernel between a connection and a caller that may not read."""

    def __init__(self, loop, protocol):
        super().__init__()
        self.received = b''
        self.is_slow = False
        self.is_reset = False
        self._loop = loop
        self._protocol = protocol
        self._unsent = b''
        self._unread = []
        self._high_water_bytes = 65_536
        self._is_paused = False
        self._is_closing = False
        self._has_ended = False

    def deliver(self, sent):
        """Pass bytes on, unless the connection has paused or closed."""
        if sent:
            self._unread.append(sent)
        while self._unread and not (self._is_paused or self._is_closing):
            self._protocol.data_received(self._unread.pop(0))

    def read_all(self):
        """Read as a caller what was written."""
        self.received += self._unsent
        self._unsent = b''
        self._loop.call_soon(self._protocol.resume_writing)
        if self._is_closing:
            self.abort()

    def set_write_buffer_limits(self, high=None, low=None):
        self._high_water_bytes = high

    def write(self, data):
        assert not self._has_ended
        if self._is_closing:
            return
        self._unsent += data
        if not self.is_slow:
            self.received += self._unsent
            self._unsent = b''
        elif len(self._unsent) > self._high_water_bytes:
            self._protocol.pause_writing()

    def write_eof(self):
        self._has_ended = True

    def close(self):
        self._is_closing = True
        self.is_reset = bool(self._unread)
        if not self._unsent:
            self.abort()

    def abort(self):
        self._is_closing = True
        self._unsent = b''
        self._loop.call_soon(self._protocol.connection_lost, None)

    def is_closing(self):
        return self._is_closing

    def get_write_buffer_size(self):
        return len(self._unsent)

    def pause_reading(self):
        self._is_paused = True

    def resume_reading(self):
        self._is_paused = False
        self._loop.call_soon(self.deliver, b'')


class ConnectionMachine(RuleBasedStateMachine):
    """Mix the steps of one caller, of its handlers and of a stop."""

    def __init__(self):
        super().__init__()
        self.loop = VirtualTimeLoop()
        self.limits = ClientLimits()
        self.accepts_new = True
        self.has_stopped = False
        self.ended = asyncio.Event()
        self.listener = Http1Listener(
            Address('127.0.0.1', 0), self.handle, lambda: self.limits
        )
        self.connect()

    def connect(self):
        self.sent = 0
        self.rest = b''
        self.read_whole = 0
        self.broken_off = []
        self.loop.run_until_complete(self.accept())

    async def accept(self):
        self.connection = self.listener._build_connection()
        self.transport = CallerTransport(self.loop, self.connection)
        self.connection.connection_made(self.transport)

    async def handle(self, exchange):
        _, number, kind = exchange.head.target.decode().split('/')
        if not self.accepts_new:
            exchange.respond(503, [], number.encode())
        elif kind in {'answer', 'large'}:
            body = LARGE if kind == 'large' else b''
            exchange.respond(200, [], number.encode() + body)
        elif kind == 'fail':
            raise ValueError
        elif kind in {'stream', 'break'}:
            await self.stream(exchange, number, kind)
        elif kind == 'wait':
            await self.ended.wait()
            exchange.respond(504, [], number.encode())
        else:
            await asyncio.Event().wait()

    async def stream(self, exchange, number, kind):
        exchange.begin_stream(200, [])
        await exchange.send_chunk(number.encode())
        await asyncio.sleep(0.1)
        await exchange.send_chunk(LARGE)
        if kind == 'break':
            self.broken_off.append(exchange.number)
            exchange.abort()
            return
        exchange.finish_stream()

    def run_sync(self, function, *arguments):
        async def call():
            function(*arguments)
            await asyncio.sleep(0)

        self.loop.run_until_complete(call())

    def deliver(self, sent, *, is_end):
        self.run_sync(self.deliver_now, sent, is_end)

    def deliver_now(self, sent, is_end):
        # A request that crosses the close isn't read.
        is_open = self.connection.state not in FINAL
        if is_end and is_open and not self.transport._is_paused:
            self.read_whole = self.sent
        self.transport.deliver(sent)

    @rule(
        kind=st.sampled_from(HANDLERS),
        body_size=st.sampled_from((0, 0, 80_000)),
        share=st.sampled_from((1, 1, 0.1, 0.9)),
    )
    def send_request(self, kind, body_size, share):
        if self.rest:
            return
        self.sent += 1
        request = (
            b'POST /%d/%b HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n'
            % (self.sent, kind.encode(), body_size)
        ) + bytes(body_size)
        size = int(len(request) * share)
        self.rest = request[size:]
        self.deliver(request[:size], is_end=not self.rest)

    @rule()
    def send_rest(self):
        if self.rest:
            rest, self.rest = self.rest, b''
            self.deliver(rest, is_end=True)

    @rule()
    def send_empty_line(self):
        if not self.rest:
            self.deliver(b'\r\n', is_end=False)

    @rule(seconds=st.sampled_from((0.01, 0.05, 0.2, 1, 4, 20)))
    def wait(self, seconds):
        self.loop.run_until_complete(asyncio.sleep(seconds))

    @rule(is_slow=st.booleans())
    def change_reader(self, is_slow):
        self.transport.is_slow = is_slow
        if not is_slow:
            self.run_sync(self.transport.read_all)

    @rule(idle_s=st.sampled_from((0.1, 15)), read_s=st.sampled_from((0.1, 3)))
    def reload_limits(self, idle_s, read_s):
        self.limits = ClientLimits(read_timeout_s=read_s, idle_s=idle_s)

    @rule(
        is_due=unlikely,
        accepts_new=st.booleans(),
        idle_s=st.sampled_from((0, 0.2)),
    )
    def drain(self, is_due, accepts_new, idle_s):
        if not is_due:
            return
        self.listener.is_draining = True
        self.accepts_new = self.accepts_new and accepts_new
        if not self.accepts_new:
            self.run_sync(self.listener.close_idle, idle_s)

    @precondition(lambda self: not self.has_stopped)
    @rule()
    def connect_again(self):
        if self.connection.state is ConnectionState.CLOSED:
            self.check_responses()
            self.connect()

    @rule(is_due=unlikely)
    def end_drain(self, is_due):
        if not is_due:
            return
        self.listener.is_draining = True
        self.accepts_new = False
        self.ended.set()
        self.run_sync(self.listener.refuse_unread)

    @rule(is_due=unlikely)
    def stop(self, is_due):
        if not is_due:
            return
        self.has_stopped = True
        connection = self.connection
        if (
            connection.state is ConnectionState.RESPONDING
            and connection._writer.progress is ResponseProgress.BEGUN
        ):
            self.broken_off.append(connection._writer.number)
        self.run_sync(self.listener.stop)

    def teardown(self):
        self.stop(is_due=True)
        self.change_reader(is_slow=False)
        self.wait(2)
        assert self.connection.state is ConnectionState.CLOSED
        assert not self.listener.open_connections
        self.check_responses()
        self.loop.close()

    def check_responses(self):
        owed = min([self.read_whole, *(each - 1 for each in self.broken_off)])
        bodies = list(read_responses(self.transport.received))
        assert not self.transport.is_reset
        assert owed <= len(bodies) <= self.sent
        for number, (status, body) in enumerate(bodies, 1):
            if status == 200:
                assert body.rstrip(b'\0') == b'%d' % number


def read_responses(received):
    """Return the status and the body of each complete response."""
    client = h11.Connection(h11.CLIENT)
    client.receive_data(received)
    client.receive_data(b'')
    while client.our_state is h11.IDLE and client.trailing_data[0]:
        client.send(
            h11.Request(method='GET', target='/', headers=[('Host', 'h')])
        )
        client.send(h11.EndOfMessage())
        body = b''
        try:
            while type(event := client.next_event()) is not h11.EndOfMessage:
                if isinstance(event, h11.Response):
                    status = event.status_code
                elif isinstance(event, h11.Data):
                    body += bytes(event.data)
        except h11.RemoteProtocolError:
            return
        yield status, body
        if client.their_state is not h11.DONE:
            assert not client.trailing_data[0]
            return
        client.start_next_cycle()


def test_each_request_that_was_read_whole_gets_a_response():
    settings = hypothesis.settings(
        max_examples=100,
        stateful_step_count=30,
        derandomize=True,
        deadline=None,
        database=None,
    )
    run_state_machine_as_test(ConnectionMachine, settings=settings)
