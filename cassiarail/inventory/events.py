"""Define the log events of the platform's clients."""

from absl import logging

from cassiarail.core.events import define_event

HOST_LIST_FAILED = define_event(
    number=5101,
    level=logging.WARNING,
    summary='host list could not be read; retaining the last one',
)
HOST_LIST_CHANGED = define_event(
    number=5102, level=logging.INFO, summary='host list changed'
)
