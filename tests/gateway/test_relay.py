"""Test the event cursor with split, duplicate and invalid events."""

import itertools

from hypothesis import given
from hypothesis import strategies as st

from cassiarail.gateway.relay import EventCursor
from cassiarail.targets.exceptions import StreamBrokenError, StreamGapError


def _event(index, text='x', reason='null'):
    return (
        f'id: {index}\ndata: {{"choices":[{{"delta":{{"content":"{text}"}},'
        f'"finish_reason":{reason}}}]}}\n\n'
    ).encode()


EVENTS = [_event(0, 'id: 7'), _event(1), _event(2, reason='"stop"')]
COMPLETE_BODY = b''.join(EVENTS) + b'data: [DONE]\n\n'


@given(st.lists(st.integers(0, len(COMPLETE_BODY))), st.booleans())
def test_any_split_of_the_bytes_gives_the_same_events(
    cut_positions, carriage_returns
):
    body = (
        COMPLETE_BODY.replace(b'\n', b'\r\n')
        if carriage_returns
        else COMPLETE_BODY
    )
    boundaries = [0, *sorted(cut_positions), len(body)]
    cursor = EventCursor()
    relayed = b''.join(
        cursor.feed(body[start:end])
        for start, end in itertools.pairwise(boundaries)
    )
    assert cursor.failure is None
    assert cursor.is_complete
    assert relayed == b''.join(EVENTS)
    assert cursor.text() == 'id: 7xx'


def test_events_before_a_gap_in_one_chunk_are_delivered():
    """They count as delivered, so dropping them would lose tokens."""
    cursor = EventCursor()
    assert cursor.feed(_event(0) + _event(2)) == _event(0)
    assert isinstance(cursor.failure, StreamGapError)
    cursor.start_connection()
    assert cursor.feed(_event(0) + _event(1)) == _event(1)
    assert cursor.failure is None


def test_invalid_events_break_the_stream():
    for fault in (
        b'id: x\ndata: {}\n\n',
        b'event: error\ndata: {}\n\n',
        b'data: [DONE]\n\n',
        b'x' * 1_048_577,
    ):
        cursor = EventCursor()
        assert cursor.feed(fault) == b''
        assert isinstance(cursor.failure, StreamBrokenError)
        assert not cursor.is_complete
