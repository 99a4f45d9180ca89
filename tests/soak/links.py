"""Forward connections on loopback, and spoil them on request."""

import asyncio
import contextlib

from tests.soak.loopback import ADDRESS

_CHUNK = 65536
MODES = ('pass', 'delay', 'refuse', 'silent', 'deaf')
_DELAY_S = 0.3


class Link:
    """Forward to one port.

    ``delay`` holds each piece up, ``refuse`` resets, ``silent`` passes
    nothing either way and ``deaf`` passes requests but no answers.
    """

    def __init__(self, target_port):
        self.mode = 'pass'
        self.target_port = target_port
        self.port = 0
        self._server = None
        self._writers = set()

    async def start(self):
        """Listen on loopback."""
        self._server = await asyncio.start_server(self._serve, ADDRESS, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def reset(self):
        """Reset all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def stop(self):
        """Stop listening."""
        self._server.close()
        self.reset()

    async def _serve(self, reader, writer):
        if self.mode == 'refuse':
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            far_reader, far_writer = await asyncio.open_connection(
                ADDRESS, self.target_port
            )
        except OSError:
            writer.transport.abort()
            self._writers.discard(writer)
            return
        self._writers.add(far_writer)
        try:
            with contextlib.suppress(ConnectionError):
                await asyncio.gather(
                    self._pass(reader, far_writer, {'silent'}),
                    self._pass(far_reader, writer, {'silent', 'deaf'}),
                )
        finally:
            for each in (writer, far_writer):
                self._writers.discard(each)
                each.transport.abort()

    async def _pass(self, reader, writer, blocked):
        while True:
            piece = await reader.read(_CHUNK)
            while self.mode in blocked:
                await asyncio.sleep(0.02)
            if self.mode == 'delay':
                await asyncio.sleep(_DELAY_S)
            if not piece:
                # Closing ends both ways at once, as a crash would.
                writer.transport.abort()
                return
            writer.write(piece)
            await writer.drain()
