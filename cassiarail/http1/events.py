"""Define the log events of HTTP listeners."""

from absl import logging

from cassiarail.core.events import define_event

HANDLER_FAILED = define_event(
    number=2107,
    level=logging.ERROR,
    summary='handler of a request failed; the client gets an error',
)
RESPONSE_MISSING = define_event(
    number=2108,
    level=logging.ERROR,
    summary='handler of a request ended without a complete response',
)
CLOSE_FAILED = define_event(
    number=2109,
    level=logging.ERROR,
    summary='client connection could not be stopped in order; it is dropped',
)
