"""Define the log events of the request path, numbers 20xx."""

from absl import logging

from cassiarail.core.events import define_event

TARGET_UNRESPONSIVE = define_event(
    number=2001,
    level=logging.WARNING,
    summary='target is unresponsive; its connections are replaced',
)
TARGET_CONNECTION_LOST = define_event(
    number=2002,
    level=logging.WARNING,
    summary='connection to a target broke during a request',
)
STREAM_RESUMED = define_event(
    number=2003, level=logging.INFO, summary='stream resumed'
)
STREAM_FAILED = define_event(
    number=2004,
    level=logging.WARNING,
    summary='stream could not be completed',
)
REQUEST_CANCELLED = define_event(
    number=2005, level=logging.INFO, summary='request cancelled by its caller'
)
CLAIM_UNCERTAIN = define_event(
    number=2006,
    level=logging.WARNING,
    summary='outcome of a non-idempotent call is unknown',
)
CLAIM_CREATION_UNKNOWN = define_event(
    number=2007,
    level=logging.WARNING,
    summary='outcome of creating a claim is unknown; the call was refused',
)
RETRY_REFUSED = define_event(
    number=2008,
    level=logging.WARNING,
    summary='retry budget is exhausted',
)
DRAIN_STARTED = define_event(
    number=2009,
    level=logging.INFO,
    summary='gateway refuses new requests and finishes those in progress',
)
DRAIN_EXPIRED = define_event(
    number=2010,
    level=logging.WARNING,
    summary='requests were still in progress when the drain timeout expired',
)
REQUEST_INTERNAL_ERROR = define_event(
    number=2011,
    level=logging.ERROR,
    summary='request failed with an internal error of the gateway',
)
