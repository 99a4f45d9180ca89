"""Test that logging does not block and that its buffer is bounded."""

import datetime as dt
import json
import os

from absl import logging

from cassiarail.core.events import Event
from cassiarail.telemetry.line_writer import MAX_BUFFERED_BYTES, LineWriter

EVENT = Event(42, logging.INFO, 'something happened')


def now():
    return dt.datetime(2026, 1, 1, tzinfo=dt.UTC)


def test_a_line_holds_the_event_and_its_fields():
    reader, writer = os.pipe()
    LineWriter(writer, now).write(EVENT, {'request': 'r1'})
    assert json.loads(os.read(reader, 10_000)) == {
        'time': '2026-01-01T00:00:00.000+00:00',
        'level': 'info',
        'event': 42,
        'summary': 'something happened',
        'request': 'r1',
    }


def test_a_stalled_reader_does_not_block_writes():
    # A blocked write would stop every stream of the process.
    reader, writer = os.pipe()
    lines = LineWriter(writer, now)
    padding = 'x' * 1000
    count = 3 * MAX_BUFFERED_BYTES // 1000
    for number in range(count):
        lines.write(EVENT, {'number': number, 'padding': padding})
    assert 0 < lines.dropped < count
    received = b''
    os.set_blocking(reader, False)
    for _attempt in range(count):
        lines.flush()
        try:
            received += os.read(reader, 1_000_000)
        except BlockingIOError:
            break
    rows = [json.loads(line) for line in received.splitlines()]
    drop_counts = [row['lines'] for row in rows if 'lines' in row]
    assert sum(drop_counts) == lines.dropped
    assert len(rows) - len(drop_counts) == count - lines.dropped


def test_lines_to_a_closed_reader_are_counted_as_dropped():
    reader, writer = os.pipe()
    os.close(reader)
    lines = LineWriter(writer, now)
    lines.write(EVENT, {})
    assert lines.dropped == 1
