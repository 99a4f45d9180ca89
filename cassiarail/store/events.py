"""Define the log events of the object store's client."""

from absl import logging

from cassiarail.core.events import define_event

LEASE_ACQUIRED = define_event(
    number=4101, level=logging.INFO, summary='lease acquired'
)
LEASE_LOST = define_event(
    number=4102, level=logging.WARNING, summary='lease lost'
)
WRITE_SETTLED = define_event(
    number=4103,
    level=logging.INFO,
    summary='outcome of an unanswered write was read back',
)
