"""Check and begin streams that one or several targets send."""

from cassiarail.core.exceptions import ConnectionLostError
from cassiarail.edge.requests.event_stream import (
    EventSplitter,
    InvalidStreamError,
)
from cassiarail.edge.requests.jobs import Job
from cassiarail.http1.messages import (
    ResponseHead,
    find_header,
    strip_hop_headers,
)

_EVENT_STREAM = 'text/event-stream'


def begin_stream(job: Job, head: ResponseHead) -> None:
    """Send the head of the first target that streams; it stays in force."""
    if not job.response_started:
        job.exchange.begin_stream(head.status, strip_hop_headers(head.headers))


def split_chunk(splitter: EventSplitter, chunk: bytes) -> bytes:
    """Return the complete events up to the end of a chunk."""
    try:
        return splitter.feed(chunk)
    except InvalidStreamError as error:
        raise ConnectionLostError(str(error)) from error


def is_event_stream(head: ResponseHead) -> bool:
    """Return whether a response announces a stream of events."""
    content_type = find_header(head.headers, b'content-type') or ''
    return content_type.partition(';')[0].strip() == _EVENT_STREAM


def has_known_length(head: ResponseHead) -> bool:
    """Return whether a body has an end other than that of its connection."""
    return any(
        find_header(head.headers, name) is not None
        for name in (b'content-length', b'transfer-encoding')
    )
