"""Write events as JSON lines to standard output without ever blocking.

A reader that stands still must not stop requests: lines wait in a bounded
buffer, and beyond it they are dropped and counted.
"""

import asyncio
import collections
import datetime as dt
import os
from collections.abc import Callable, Mapping

import msgspec

from cassiarail.core.events import Event, EventSink

MAX_BUFFERED_BYTES = 1_048_576
# Lines of one interval are written by one system call.
FLUSH_INTERVAL_S = 0.1
_LEVELS = ('info', 'warning', 'error', 'fatal')


class LineWriter(EventSink):
    """Buffer lines and write what the descriptor takes."""

    def __init__(self, descriptor: int, now: Callable[[], dt.datetime]) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        self._now = now
        self._encoder = msgspec.json.Encoder(enc_hook=str)
        self._lines: collections.deque[bytes] = collections.deque()
        self._size = 0
        self._unreported = 0
        self._is_scheduled = False
        os.set_blocking(descriptor, False)

    def write(self, event: Event, fields: Mapping[str, object]) -> None:
        """Queue one event."""
        line = self._encoder.encode(
            {
                'time': self._now().isoformat(timespec='milliseconds'),
                'level': _LEVELS[-event.level] if event.level <= 0 else 'debug',
                'event': event.number,
                'summary': event.summary,
                **fields,
            },
        )
        self._queue(b'%s\n' % line)
        self._schedule()

    def flush(self) -> None:
        """Write as much as the descriptor takes now."""
        self._report_dropped()
        self._write_batch()
        self._is_scheduled = False
        if self._lines:
            self._schedule_later()

    def _write_batch(self) -> None:
        batch = b''.join(self._lines)
        if not batch:
            return
        try:
            written = os.write(self._descriptor, batch)
        except BlockingIOError:
            written = 0
        except OSError:
            # Nobody reads any more; the count of dropped lines says so.
            self._drop_all()
            return
        self._lines.clear()
        self._size = 0
        if written < len(batch):
            self._queue(batch[written:])

    def _queue(self, line: bytes) -> None:
        if self._size + len(line) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            self._unreported += 1
            return
        self._lines.append(line)
        self._size += len(line)

    def _drop_all(self) -> None:
        self.dropped += len(self._lines)
        self._lines.clear()
        self._size = 0

    def _report_dropped(self) -> None:
        room = MAX_BUFFERED_BYTES - self._size
        if self._unreported and room > MAX_BUFFERED_BYTES // 2:
            count = self._unreported
            self._unreported = 0
            self._queue(
                self._encoder.encode(
                    {'summary': 'log lines were dropped', 'lines': count},
                )
                + b'\n',
            )

    def _schedule(self) -> None:
        """Flush soon; without a running loop, try at once."""
        if not self._is_scheduled and not self._schedule_later():
            self.flush()

    def _schedule_later(self) -> bool:
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return False
        self._is_scheduled = True
        loop.call_later(FLUSH_INTERVAL_S, self.flush)
        return True
