"""Write events as JSON lines to a file descriptor without blocking.

A stalled reader must not block requests: lines are held in a bounded buffer,
and lines that exceed it are dropped and counted.
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
    """Buffer lines and write them to a non-blocking descriptor."""

    def __init__(self, descriptor: int, now: Callable[[], dt.datetime]) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        self._now = now
        self._encoder = msgspec.json.Encoder(enc_hook=str)
        self._buffer: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._unreported_drops = 0
        self._is_flush_scheduled = False
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
        self._append(b'%s\n' % line)
        self._schedule_flush()

    def flush(self) -> None:
        """Write as much as the descriptor accepts now."""
        self._report_dropped()
        self._write_batch()
        self._is_flush_scheduled = False
        if self._buffer:
            self._try_schedule_flush()

    def _write_batch(self) -> None:
        batch = b''.join(self._buffer)
        if not batch:
            return
        try:
            written = os.write(self._descriptor, batch)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader has closed its end; the lines count as dropped.
            self._drop_all()
            return
        self._buffer.clear()
        self._buffered_bytes = 0
        if written < len(batch):
            self._append(batch[written:])

    def _append(self, line: bytes) -> None:
        if self._buffered_bytes + len(line) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            self._unreported_drops += 1
            return
        self._buffer.append(line)
        self._buffered_bytes += len(line)

    def _drop_all(self) -> None:
        self.dropped += len(self._buffer)
        self._buffer.clear()
        self._buffered_bytes = 0

    def _report_dropped(self) -> None:
        free_bytes = MAX_BUFFERED_BYTES - self._buffered_bytes
        if self._unreported_drops and free_bytes > MAX_BUFFERED_BYTES // 2:
            count = self._unreported_drops
            self._unreported_drops = 0
            self._append(
                self._encoder.encode(
                    {'summary': 'log lines were dropped', 'lines': count},
                )
                + b'\n',
            )

    def _schedule_flush(self) -> None:
        """Schedule a flush; without a running loop, flush immediately."""
        if not self._is_flush_scheduled and not self._try_schedule_flush():
            self.flush()

    def _try_schedule_flush(self) -> bool:
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return False
        self._is_flush_scheduled = True
        loop.call_later(FLUSH_INTERVAL_S, self.flush)
        return True
