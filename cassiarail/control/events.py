"""Define the log events of plan execution."""

from absl import logging

from cassiarail.core.events import define_event

ORDER_SENT = define_event(
    number=3001, level=logging.INFO, summary='order sent to a target'
)
ORDER_UNCERTAIN = define_event(
    number=3002,
    level=logging.WARNING,
    summary='outcome of an order is unknown; its memory stays charged',
)
INSTANCE_CHANGED = define_event(
    number=3003,
    level=logging.WARNING,
    summary='target runs as a new instance',
)
UNKNOWN_HOLDING = define_event(
    number=3004,
    level=logging.WARNING,
    summary='target holds a model or adapter that its ledger does not list',
)
REPORT_FAILED = define_event(
    number=3005,
    level=logging.WARNING,
    summary='report of a target could not be read',
)
MOVE_REFUSED = define_event(
    number=3006,
    level=logging.INFO,
    summary='move was refused for now',
)
