"""Send requests with bodies as clients do that nobody controls.

Each request is sent on a connection of its own, which then stays open. What
the server sends is read and discarded.
"""

import asyncio
import contextlib
import itertools
from typing import NamedTuple

from tests.soak.loopback import ADDRESS

CONNECTIONS = 40
_PIECE_BYTES = 65_536
_LARGE_CHUNK_BYTES = 32_768
# A byte in a chunk takes six bytes on the way, and a parser many times its
# size; these bodies are smaller so that a crowd of them is read in seconds.
_TINY_BYTES = 16_000
# Above the limit of listeners without bodies, and above a lowered one.
_TINY_EXCESSIVE_BYTES = 20_000
LOW_LIMIT_BYTES = 8192
_TINY_CHUNKS_A_PIECE = 2000
_ANNOUNCED_BYTES = 1_000_000_000
_PIECE_PAUSE_S = 0.005
_READ_BYTES = 65_536
# Ends a crowd whose server has stopped reading.
_SEND_TIMEOUT_S = 30


class BodyLimits(NamedTuple):
    """Hold the size of legal bodies and of those above the limit, in bytes."""

    legal: int
    excessive: int


class BodyShape(NamedTuple):
    """Describe how the body of a request is sent.

    ``is_whole`` sends all in one piece, ``is_complete`` includes the end. The
    length is the one that ``Content-Length`` or the size line of a chunk
    announces; by default, it is that of what is sent.
    """

    name: str
    is_chunked: bool = False
    is_tiny: bool = False
    is_whole: bool = False
    is_complete: bool = False
    is_excessive: bool = False
    announced_bytes: int | None = None

    def list_pieces(self, limits):
        """Yield what is sent behind the head, piece by piece."""
        pieces = self._list_pieces(limits)
        if self.is_whole:
            return iter((b''.join(pieces),))
        return pieces

    def encode_framing(self, limits):
        """Return the header field that frames the body."""
        if self.is_chunked:
            return 'Transfer-Encoding: chunked\r\n'
        announced = self.announced_bytes or self._count_bytes(limits)
        return f'Content-Length: {announced}\r\n'

    def _count_bytes(self, limits):
        if self.is_tiny:
            return _TINY_EXCESSIVE_BYTES if self.is_excessive else _TINY_BYTES
        return limits.excessive if self.is_excessive else limits.legal

    def _list_pieces(self, limits):
        size = self._count_bytes(limits)
        if self.is_chunked and self.announced_bytes:
            yield b'%x\r\n' % self.announced_bytes
            yield from _split(size, _PIECE_BYTES)
        elif self.is_tiny:
            yield from self._list_tiny(size)
        elif self.is_chunked:
            for part in _split(size, _LARGE_CHUNK_BYTES):
                yield b'%x\r\n%s\r\n' % (len(part), part)
            yield b'0\r\n\r\n' if self.is_complete else b'0\r\n'
        else:
            yield from _split(size - 1, _PIECE_BYTES)
            yield b'x' if self.is_complete else b''

    def _list_tiny(self, size):
        for start in range(0, size, _TINY_CHUNKS_A_PIECE):
            yield b'1\r\nx\r\n' * min(_TINY_CHUNKS_A_PIECE, size - start)
        yield b'0\r\n\r\n' if self.is_complete else b'0\r\n'


def _split(size, largest):
    for start in range(0, size, largest):
        yield b'x' * min(largest, size - start)


def _list_shapes():
    framings = (
        ('length', {}),
        ('large-chunks', {'is_chunked': True}),
        ('tiny-chunks', {'is_chunked': True, 'is_tiny': True}),
    )
    for (name, framing), is_whole, is_complete in itertools.product(
        framings, (True, False), (True, False)
    ):
        sending = 'whole' if is_whole else 'pieces'
        end = 'complete' if is_complete else 'short'
        yield BodyShape(
            f'{name}-{sending}-{end}',
            is_whole=is_whole,
            is_complete=is_complete,
            **framing,
        )
    for is_whole in (False, True):
        yield from _list_excessive(is_whole=is_whole)


def _list_excessive(*, is_whole):
    sending = '-whole' if is_whole else ''
    framings = (
        ('length', {'announced_bytes': _ANNOUNCED_BYTES}),
        ('chunk', {'is_chunked': True, 'announced_bytes': _ANNOUNCED_BYTES}),
        ('large-chunks', {'is_chunked': True}),
    )
    for name, framing in framings:
        yield BodyShape(
            f'excessive-{name}{sending}',
            is_whole=is_whole,
            is_excessive=True,
            **framing,
        )


SHAPES = tuple(_list_shapes())
TINY_EXCESSIVE_SHAPES = tuple(
    BodyShape(
        f'excessive-tiny-chunks-{"whole" if is_whole else "pieces"}',
        is_chunked=True,
        is_tiny=True,
        is_whole=is_whole,
        is_excessive=True,
    )
    for is_whole in (True, False)
)


class BodyCrowd:
    """Send one request on each of many connections, and leave them open."""

    def __init__(self, port, shape, limits, encode_head, address=ADDRESS):
        """``encode_head`` takes a number and returns the fields of a head."""
        self._address = (address, port)
        self._shape = shape
        self._limits = limits
        self._encode_head = encode_head
        self._senders = []
        self._readers = []
        self._writers = []

    async def __aenter__(self):
        self._senders = [
            asyncio.ensure_future(self._send(number))
            for number in range(CONNECTIONS)
        ]
        return self

    async def __aexit__(self, *_error):
        tasks = [*self._senders, *self._readers]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for writer in self._writers:
            writer.transport.abort()

    @property
    def has_ended(self):
        """Return whether each connection has sent all, or was closed."""
        return all(task.done() for task in self._senders)

    async def _send(self, number):
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(_SEND_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*self._address)
                self._writers.append(writer)
                self._readers.append(asyncio.ensure_future(_discard(reader)))
                head = self._encode_head(number)
                framing = self._shape.encode_framing(self._limits)
                writer.write(f'{head}{framing}\r\n'.encode())
                for piece in self._shape.list_pieces(self._limits):
                    writer.write(piece)
                    await writer.drain()
                    await asyncio.sleep(_PIECE_PAUSE_S)


async def send_one_by_one(port, shape, limits, encode_head, address=ADDRESS):
    """Return connections, each of which has had the response to a request."""
    writers = []
    for number in range(CONNECTIONS):
        reader, writer = await asyncio.open_connection(address, port)
        writers.append(writer)
        head, framing = encode_head(number), shape.encode_framing(limits)
        writer.write(f'{head}{framing}\r\n'.encode())
        # A server may respond and close before it has read the body.
        with contextlib.suppress(OSError):
            for piece in shape.list_pieces(limits):
                writer.write(piece)
                await writer.drain()
            async with asyncio.timeout(_SEND_TIMEOUT_S):
                await reader.readuntil(b'\r\n\r\n')
    return writers


async def _discard(reader):
    with contextlib.suppress(OSError):
        while await reader.read(_READ_BYTES):
            continue
