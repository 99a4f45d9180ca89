"""Guard that a stream is cut only between events."""

from hypothesis import given
from hypothesis import strategies as st

from cassiarail.edge.event_stream import EventSplitter

EVENTS = [b'id: %d\ndata: %s\n\n' % (n, b'x' * n) for n in range(1, 8)]


@given(st.lists(st.integers(1, 40), max_size=20))
def test_pieces_of_any_size_give_whole_events(sizes):
    # A resumed stream would repeat or miss part of an event (ORDER).
    stream = b''.join(EVENTS)
    splitter = EventSplitter()
    passed = b''
    for size in [*sizes, len(stream)]:
        passed += splitter.feed(stream[:size])
        stream = stream[size:]
        whole = [event for event in EVENTS if event in passed]
        assert passed == b''.join(whole)
        expected = str(len(whole)) if whole else None
        assert splitter.last_id == expected
    assert passed + splitter.take_rest() == b''.join(EVENTS)


def test_a_broken_event_is_forgotten():
    splitter = EventSplitter()
    assert splitter.feed(EVENTS[0] + b'id: 2\nda') == EVENTS[0]
    splitter.drop_partial()
    assert splitter.feed(EVENTS[1]) == EVENTS[1]
    assert splitter.last_id == '2'
