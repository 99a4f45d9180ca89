"""Test that a stream is split only between events."""

from hypothesis import given
from hypothesis import strategies as st

from cassiarail.edge.requests.event_stream import EventSplitter

EVENTS = [b'id: %d\ndata: %s\n\n' % (n, b'x' * n) for n in range(1, 8)]


@given(st.lists(st.integers(1, 40), max_size=20))
def test_only_complete_events_are_returned(sizes):
    # A resumed stream would repeat or miss part of an event (ORDER).
    stream = b''.join(EVENTS)
    splitter = EventSplitter()
    returned = b''
    for size in [*sizes, len(stream)]:
        returned += splitter.feed(stream[:size])
        stream = stream[size:]
        complete = [event for event in EVENTS if event in returned]
        assert returned == b''.join(complete)
        expected = str(len(complete)) if complete else None
        assert splitter.last_id == expected
    assert returned + splitter.flush() == b''.join(EVENTS)


def test_a_partial_event_is_discarded():
    splitter = EventSplitter()
    assert splitter.feed(EVENTS[0] + b'id: 2\nda') == EVENTS[0]
    splitter.discard_partial()
    assert splitter.feed(EVENTS[1]) == EVENTS[1]
    assert splitter.last_id == '2'
